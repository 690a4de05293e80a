//! Tests of the fold of the `config` stream.

#[path = "config_fold/history.rs"]
mod history;
#[path = "config_fold/properties.rs"]
mod properties;
#[path = "config_fold/rules.rs"]
mod rules;
#[path = "config_fold/support.rs"]
mod support;
