//! Tests of the replicated configuration.

#[path = "config_replica/history.rs"]
mod history;
#[path = "config_replica/properties.rs"]
mod properties;
#[path = "config_replica/rules.rs"]
mod rules;
#[path = "config_replica/support.rs"]
mod support;
