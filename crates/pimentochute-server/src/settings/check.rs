//! Reads settings and lists every fault in them.

use serde::Deserialize;
use serde_json::Value;
use serde_path_to_error::{Path, Segment};

use super::document::SettingsDocument;
use super::reader::read_json;
use super::relations::relation_faults;
use super::{Settings, SettingsError, SettingsFault};

/// The number of faults after which the search stops; a longer list is no more
/// useful.
const MAX_FAULTS: usize = 200;

/// The maximum number of characters of a found value that are shown.
const MAX_SHOWN_CHARS: usize = 60;

/// Fields whose value is never shown.
const SECRET_FIELDS: &[&str] = &["peer_key"];

/// Parses settings from JSON and checks them.
///
/// # Errors
/// Returns every fault with its path, what was found and what is allowed.
pub fn check_settings(text: &[u8]) -> Result<Settings, SettingsError> {
    if text.iter().all(u8::is_ascii_whitespace) {
        return Err(SettingsError::Empty);
    }
    let mut faults = Vec::new();
    let read = read_json(text, &mut faults);
    let mut value = read.map_err(|error| SettingsError::Syntax {
        detail: error.to_string(),
    })?;
    let document = read_document(&mut value, &mut faults);
    faults.extend(document.range_faults());
    let (partial, missing) = document.into_partial();
    add_uncovered(&mut faults, missing.into_iter().map(missing_fault));
    let relations = relation_faults(&partial, &faults);
    add_uncovered(&mut faults, relations);
    match partial.complete() {
        Some(settings) if faults.is_empty() => Ok(settings),
        _ => Err(SettingsError::Faults { faults }),
    }
}

/// Adds the faults that no known fault explains.
fn add_uncovered(faults: &mut Vec<SettingsFault>, found: impl IntoIterator<Item = SettingsFault>) {
    for fault in found {
        let covered = faults.iter().any(|known| covers(&known.path, &fault.path));
        if !covered {
            faults.push(fault);
        }
    }
}

/// Returns whether a fault at path `known` explains one at `path`: the paths are
/// equal, or `path` lies inside `known`.
fn covers(known: &str, path: &str) -> bool {
    let rest = path.strip_prefix(known);
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with(['.', '[']))
}

fn missing_fault(path: String) -> SettingsFault {
    SettingsFault {
        path,
        found: "nothing".to_owned(),
        allowed: "a value is required".to_owned(),
    }
}

/// Decodes the document. The decoder stops at the first faulty value, so each
/// one is removed and decoding is repeated, until all faults are found.
fn read_document(value: &mut Value, faults: &mut Vec<SettingsFault>) -> SettingsDocument {
    while faults.len() < MAX_FAULTS {
        let read: Result<SettingsDocument, _> = serde_path_to_error::deserialize(&*value);
        let error = match read {
            Ok(document) => return document,
            Err(error) => error,
        };
        let (path, detail) = (error.path().clone(), error.into_inner().to_string());
        faults.push(describe_fault(value, &path, &detail));
        if !remove_value(value, &path) {
            break;
        }
    }
    SettingsDocument::deserialize(Value::Object(serde_json::Map::new())).unwrap_or_default()
}

fn describe_fault(root: &Value, path: &Path, detail: &str) -> SettingsFault {
    let secret = path.iter().any(is_secret);
    let found = match value_at(root, path) {
        _ if secret => "a value that is not shown".to_owned(),
        Some(found) => shorten(&found.to_string()),
        None => "nothing".to_owned(),
    };
    SettingsFault {
        path: match path.iter().next() {
            Some(_) => path.to_string(),
            None => "the whole document".to_owned(),
        },
        found,
        allowed: allowed_by(detail, secret),
    }
}

fn is_secret(segment: &Segment) -> bool {
    matches!(segment, Segment::Map { key } if SECRET_FIELDS.contains(&key.as_str()))
}

/// Extracts what is allowed from the error message of the decoder.
fn allowed_by(detail: &str, secret: bool) -> String {
    match detail.rsplit_once("expected ") {
        Some((before, expected)) if before.starts_with("unknown field") => {
            format!("no such field; known are: {expected}")
        }
        Some((_, expected)) => expected.to_owned(),
        None if secret => "a text".to_owned(),
        None => detail.to_owned(),
    }
}

fn shorten(text: &str) -> String {
    match text.char_indices().nth(MAX_SHOWN_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn value_at<'a>(root: &'a Value, path: &Path) -> Option<&'a Value> {
    path.iter().try_fold(root, |value, segment| match segment {
        Segment::Map { key } => value.get(key),
        Segment::Seq { index } => value.get(index),
        _ => None,
    })
}

/// Removes a field of an object, or replaces an element of a list by an empty
/// object so that the other elements keep their positions. Returns whether the
/// document changed.
fn remove_value(root: &mut Value, path: &Path) -> bool {
    let segments: Vec<&Segment> = path.iter().collect();
    let Some((last, parents)) = segments.split_last() else {
        return false;
    };
    let parent = parents
        .iter()
        .try_fold(root, |value, segment| match segment {
            Segment::Map { key } => value.get_mut(key),
            Segment::Seq { index } => value.get_mut(index),
            _ => None,
        });
    match (parent, last) {
        (Some(Value::Object(fields)), Segment::Map { key }) => fields.remove(key).is_some(),
        (Some(Value::Array(items)), Segment::Seq { index }) => {
            let empty = Value::Object(serde_json::Map::new());
            match items.get_mut(*index) {
                Some(item) if *item != empty => {
                    *item = empty;
                    true
                }
                _ => false,
            }
        }
        _ => false,
    }
}
