//! Parses JSON and reports fields that occur twice in an object.

use std::cell::RefCell;
use std::fmt;

use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::{Map, Value};

use super::SettingsFault;

/// Parses a JSON value and adds a fault for each field that occurs twice in an
/// object, which `serde_json` accepts without an error.
///
/// # Errors
/// Fails if the text is not one JSON value.
pub(super) fn read_json(
    text: &[u8],
    faults: &mut Vec<SettingsFault>,
) -> Result<Value, serde_json::Error> {
    let found = RefCell::new(Vec::new());
    let mut decoder = serde_json::Deserializer::from_slice(text);
    let seed = ValueSeed {
        path: String::new(),
        faults: &found,
    };
    let value = seed.deserialize(&mut decoder)?;
    decoder.end()?;
    faults.append(&mut found.into_inner());
    Ok(value)
}

/// Deserializes the value at a path.
struct ValueSeed<'a> {
    path: String,
    faults: &'a RefCell<Vec<SettingsFault>>,
}

impl ValueSeed<'_> {
    fn field(&self, name: &str) -> ValueSeed<'_> {
        let path = if self.path.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.path)
        };
        ValueSeed {
            path,
            faults: self.faults,
        }
    }

    fn element(&self, index: usize) -> ValueSeed<'_> {
        ValueSeed {
            path: format!("{}[{index}]", self.path),
            faults: self.faults,
        }
    }
}

impl<'de> DeserializeSeed<'de> for ValueSeed<'_> {
    type Value = Value;

    fn deserialize<D: Deserializer<'de>>(self, decoder: D) -> Result<Value, D::Error> {
        decoder.deserialize_any(self)
    }
}

impl<'de> Visitor<'de> for ValueSeed<'_> {
    type Value = Value;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_unit<E: Error>(self) -> Result<Value, E> {
        Ok(Value::Null)
    }

    fn visit_bool<E: Error>(self, flag: bool) -> Result<Value, E> {
        Ok(Value::from(flag))
    }

    fn visit_u64<E: Error>(self, number: u64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_i64<E: Error>(self, number: i64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_f64<E: Error>(self, number: f64) -> Result<Value, E> {
        Ok(Value::from(number))
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<Value, E> {
        Ok(Value::from(text))
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut elements: A) -> Result<Value, A::Error> {
        let mut values = Vec::new();
        while let Some(value) = elements.next_element_seed(self.element(values.len()))? {
            values.push(value);
        }
        Ok(Value::Array(values))
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<Value, A::Error> {
        let mut values = Map::new();
        while let Some(name) = fields.next_key::<String>()? {
            let seed = self.field(&name);
            if values.contains_key(&name) {
                self.faults.borrow_mut().push(SettingsFault {
                    path: seed.path.clone(),
                    found: "the field twice".to_owned(),
                    allowed: "once".to_owned(),
                });
            }
            let value = fields.next_value_seed(seed)?;
            values.insert(name, value);
        }
        Ok(Value::Object(values))
    }
}
