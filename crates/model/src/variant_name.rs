//! Conversion between unit variants and their serialized names.

use serde::{
    Deserialize, Serialize,
    de::{IntoDeserializer, value::StrDeserializer},
};

/// Returns the serialized name of a unit variant, or an empty string for any other value.
pub fn variant_name<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}

/// Returns the unit variant with a serialized name.
pub fn variant_from_name<'a, T: Deserialize<'a>>(word: &'a str) -> Option<T> {
    let deserializer: StrDeserializer<'a, serde::de::value::Error> = word.into_deserializer();
    T::deserialize(deserializer).ok()
}
