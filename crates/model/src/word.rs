//! Reasons as words: the name that serialization gives to a unit variant.

use serde::{
    Deserialize, Serialize,
    de::{IntoDeserializer, value::StrDeserializer},
};

/// Returns the word of a unit variant, or an empty text if the value is not a unit variant.
pub fn to_word<T: Serialize>(value: &T) -> String {
    match serde_json::to_value(value) {
        Ok(serde_json::Value::String(word)) => word,
        _ => String::new(),
    }
}

/// Returns the unit variant that a word names.
pub fn from_word<'a, T: Deserialize<'a>>(word: &'a str) -> Option<T> {
    let deserializer: StrDeserializer<'a, serde::de::value::Error> = word.into_deserializer();
    T::deserialize(deserializer).ok()
}
