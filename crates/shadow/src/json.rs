//! JSON values (RFC 8259) that keep duplicate names of objects.

use std::fmt;

use serde::de::{Deserialize, Deserializer, MapAccess, SeqAccess, Visitor};

/// A value. Numbers have the precision that RFC 8259, section 6, calls interoperable: integers of 64 bits, all
/// others as doubles.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum Json {
    Null,
    Bool(bool),
    Integer(i128),
    Number(f64),
    String(String),
    Array(Vec<Json>),
    /// Members sorted by name, duplicates included.
    Object(Vec<(String, Json)>),
}

impl Json {
    /// Parses a text; `None` if it is not JSON. serde_json limits the depth to 128.
    pub(crate) fn parse(text: &[u8]) -> Option<Self> {
        serde_json::from_slice(text).ok()
    }

    pub(crate) fn type_name(&self) -> &'static str {
        match self {
            Json::Null => "null",
            Json::Bool(_) => "true or false",
            Json::Integer(_) | Json::Number(_) => "a number",
            Json::String(_) => "a text",
            Json::Array(_) => "a list",
            Json::Object(_) => "an object",
        }
    }

    /// Whether two scalar values are equal; 1 equals 1.0.
    pub(crate) fn equals(&self, other: &Json) -> bool {
        match (self, other) {
            (Json::Integer(a), Json::Number(b)) | (Json::Number(b), Json::Integer(a)) => {
                *a as f64 == *b
            }
            _ => self == other,
        }
    }

    /// Sort key for the elements of a list whose order is ignored.
    pub(crate) fn sort_key(&self) -> String {
        self.to_string()
    }
}

impl fmt::Display for Json {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Json::Null => f.write_str("null"),
            Json::Bool(b) => write!(f, "{b}"),
            Json::Integer(n) => write!(f, "{n}"),
            Json::Number(n) => write!(f, "{n}"),
            Json::String(text) => write!(f, "{text:?}"),
            Json::Array(list) => {
                f.write_str("[")?;
                for (i, value) in list.iter().enumerate() {
                    write!(f, "{}{value}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("]")
            }
            Json::Object(members) => {
                f.write_str("{")?;
                for (i, (name, value)) in members.iter().enumerate() {
                    write!(f, "{}{name:?}:{value}", if i > 0 { "," } else { "" })?;
                }
                f.write_str("}")
            }
        }
    }
}

impl<'de> Deserialize<'de> for Json {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        struct JsonVisitor;
        impl<'de> Visitor<'de> for JsonVisitor {
            type Value = Json;
            fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str("JSON")
            }
            fn visit_unit<E>(self) -> Result<Json, E> {
                Ok(Json::Null)
            }
            fn visit_bool<E>(self, b: bool) -> Result<Json, E> {
                Ok(Json::Bool(b))
            }
            fn visit_i64<E>(self, n: i64) -> Result<Json, E> {
                Ok(Json::Integer(n.into()))
            }
            fn visit_u64<E>(self, n: u64) -> Result<Json, E> {
                Ok(Json::Integer(n.into()))
            }
            fn visit_f64<E>(self, n: f64) -> Result<Json, E> {
                Ok(Json::Number(n))
            }
            fn visit_str<E>(self, text: &str) -> Result<Json, E> {
                Ok(Json::String(text.to_string()))
            }
            fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<Json, A::Error> {
                let mut list = Vec::new();
                while let Some(value) = seq.next_element()? {
                    list.push(value);
                }
                Ok(Json::Array(list))
            }
            fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Json, A::Error> {
                let mut members: Vec<(String, Json)> = Vec::new();
                while let Some(member) = map.next_entry()? {
                    members.push(member);
                }
                // A stable sort: duplicates keep their order.
                members.sort_by(|a, b| a.0.cmp(&b.0));
                Ok(Json::Object(members))
            }
        }
        deserializer.deserialize_any(JsonVisitor)
    }
}
