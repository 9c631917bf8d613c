//! What calls say beside their method, and what answers say: the mapping of
//! `docs/specs/msgpack-rpc.md`.

use bytes::Bytes;
use rmp::encode::{
    write_array_len, write_bin, write_bool, write_map_len, write_nil, write_str, write_uint,
};

use crate::Raw;
use crate::encode::Out;

/// Most names in a call's meta.
const NAMES: usize = 100;
/// Longest name or value in it, in bytes.
const VALUE: usize = 8 << 10;

/// Why params, results or errors make no sense.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct Wrong(pub String);

fn wrong<T>(what: impl Into<String>) -> Result<T, Wrong> {
    Err(Wrong(what.into()))
}

/// What a call or an answer carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Bytes, as HTTP has them.
    Octets(Bytes),
    /// A value of MessagePack, as bytes of the media type `application/msgpack`.
    Value(Raw),
}

/// What a call says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its id.
    pub id: Option<Bytes>,
    /// How long its client waits, in milliseconds.
    pub expires_ms: Option<u64>,
    /// What it is about, for those who keep things near each other.
    pub key: Option<Bytes>,
    /// By which servers know repeats of a keyed call.
    pub idempotency_key: Option<Bytes>,
    /// On whose behalf.
    pub tenant: Option<Bytes>,
    /// A path with its query, for servers that want one.
    pub target: Option<Bytes>,
    /// Further names and values, as header fields.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Its body.
    pub body: Body,
}

impl Call {
    /// A call with nothing but a body.
    pub fn bare(body: Body) -> Self {
        Self {
            id: None,
            expires_ms: None,
            key: None,
            idempotency_key: None,
            tenant: None,
            target: None,
            fields: Vec::new(),
            body,
        }
    }

    /// Reads params of the form `[meta, body]`; with `bare`, params of any form are the body.
    ///
    /// # Errors
    ///
    /// If the params are no array of a map and a body.
    pub fn read(params: &Raw, bare: bool) -> Result<Self, Wrong> {
        let Some(parts) = params.array() else { return wrong("params are no array") };
        if bare {
            return Ok(Self::bare(Body::Value(params.clone())));
        }
        let [meta, body] = parts.as_slice() else {
            return wrong(format!("expected the params [meta, body], found {}", parts.len()));
        };
        let mut call = Self::bare(read_body(body)?);
        for (name, value) in entries(meta)? {
            let text = || match value.octets() {
                Some(text) if text.len() <= VALUE => Ok(Some(text)),
                Some(_) => wrong(format!("{} is over {VALUE} bytes", shown(&name))),
                None => wrong(format!("{} is no text", shown(&name))),
            };
            match &name[..] {
                b"id" => call.id = text()?,
                b"key" => call.key = text()?,
                b"idempotency_key" => call.idempotency_key = text()?,
                b"tenant" => call.tenant = text()?,
                b"target" => call.target = text()?,
                b"expires_ms" => match value.uint() {
                    Some(ms) => call.expires_ms = Some(ms),
                    None => return wrong("expires_ms is no whole number from 0"),
                },
                _ => call.fields.extend(text()?.map(|text| (name.clone(), text))),
            }
        }
        Ok(call)
    }

    /// Writes its params.
    pub fn write(&self, out: &mut Out) {
        let known = [
            ("id", &self.id),
            ("key", &self.key),
            ("idempotency_key", &self.idempotency_key),
            ("tenant", &self.tenant),
            ("target", &self.target),
        ];
        let count = known.iter().filter(|(_, value)| value.is_some()).count()
            + usize::from(self.expires_ms.is_some())
            + self.fields.len();
        let _ = write_array_len(out, 2);
        let _ = write_map_len(out, count as u32);
        for (name, value) in known {
            if let Some(value) = value {
                let _ = write_str(out, name);
                write_text(out, value);
            }
        }
        if let Some(ms) = self.expires_ms {
            let _ = write_str(out, "expires_ms");
            let _ = write_uint(out, ms);
        }
        for (name, value) in &self.fields {
            write_text(out, name);
            write_text(out, value);
        }
        write_body(out, &self.body);
    }
}

/// What an answer says that gave something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Served {
    /// Names and values, as header fields.
    pub fields: Vec<(Bytes, Bytes)>,
    /// Its body.
    pub body: Body,
}

impl Served {
    /// Reads a result of the form `[meta, body]`; with `bare`, a result of any form is the body.
    ///
    /// # Errors
    ///
    /// If the result is no array of a map and a body.
    pub fn read(result: &Raw, bare: bool) -> Result<Self, Wrong> {
        if bare {
            return Ok(Self { fields: Vec::new(), body: Body::Value(result.clone()) });
        }
        let parts = result.array().unwrap_or_default();
        let [meta, body] = parts.as_slice() else { return wrong("no result [meta, body]") };
        let mut fields = Vec::new();
        for (name, value) in entries(meta)? {
            match value.octets().filter(|text| text.len() <= VALUE) {
                Some(text) => fields.push((name, text)),
                None => return wrong(format!("{} is no text", shown(&name))),
            }
        }
        Ok(Self { fields, body: read_body(body)? })
    }

    /// Writes a result.
    pub fn write(&self, out: &mut Out) {
        let _ = write_array_len(out, 2);
        let _ = write_map_len(out, self.fields.len() as u32);
        for (name, value) in &self.fields {
            write_text(out, name);
            write_text(out, value);
        }
        write_body(out, &self.body);
    }
}

/// What kind of failure a call met.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Code {
    /// It never ran, and is harmless to ask again: HTTP's 503.
    Refused = 1,
    /// It is given up and may have run: HTTP's 502.
    Failed = 2,
    /// It makes no sense as it is: HTTP's 400.
    Malformed = 3,
    /// No method of this name: HTTP's 404.
    NoMethod = 4,
    /// Its id is another's that is open: HTTP's 409.
    SameId = 5,
    /// It or its body is too large: HTTP's 413.
    TooLarge = 6,
}

impl Code {
    const ALL: [Code; 6] = [
        Code::Refused,
        Code::Failed,
        Code::Malformed,
        Code::NoMethod,
        Code::SameId,
        Code::TooLarge,
    ];
}

/// A failure, as it stands in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its kind.
    pub code: Code,
    /// For people.
    pub text: String,
    /// It never ran: asking again can't make it run twice.
    pub may_try_again: bool,
    /// When to come back, in milliseconds, if that is said.
    pub come_back_ms: Option<u64>,
}

impl Failure {
    /// Reads an error of the form `[code, text, may_try_again, come_back_ms]`.
    ///
    /// # Errors
    ///
    /// If the error is no array of a code, a text, a flag and a delay.
    pub fn read(error: &Raw) -> Result<Self, Wrong> {
        let parts = error.array().unwrap_or_default();
        let [code, text, again, back] = parts.as_slice() else {
            return wrong("no error [code, text, may_try_again, come_back_ms]");
        };
        let code = code.uint().and_then(|n| Code::ALL.into_iter().find(|c| *c as u64 == n));
        let text = text.text().map(|t| String::from_utf8_lossy(&t).into_owned());
        let back_ms = back.uint();
        match (code, text, again.flag()) {
            (Some(code), Some(text), Some(may_try_again)) if back_ms.is_some() || back.is_nil() => {
                Ok(Self { code, text, may_try_again, come_back_ms: back_ms })
            }
            _ => wrong("an error with parts that are not as specified"),
        }
    }

    /// Writes it.
    pub fn write(&self, out: &mut Out) {
        let _ = write_array_len(out, 4);
        let _ = write_uint(out, self.code as u64);
        let _ = write_str(out, &self.text);
        let _ = write_bool(out, self.may_try_again);
        let _ = match self.come_back_ms {
            Some(ms) => write_uint(out, ms).is_ok(),
            None => write_nil(out).is_ok(),
        };
    }
}

fn shown(name: &[u8]) -> String {
    let name: String = String::from_utf8_lossy(name).chars().take(40).collect();
    format!("{name:?}")
}

/// A map's entries with texts for names, each once.
fn entries(meta: &Raw) -> Result<Vec<(Bytes, Raw)>, Wrong> {
    let Some(map) = meta.map() else { return wrong("meta is no map") };
    if map.len() > NAMES {
        return wrong(format!("meta has over {NAMES} names"));
    }
    let mut entries: Vec<(Bytes, Raw)> = Vec::with_capacity(map.len());
    for (name, value) in map {
        let Some(name) = name.text().filter(|n| n.len() <= VALUE) else {
            return wrong("meta has a name that is no text");
        };
        if entries.iter().any(|(other, _)| *other == name) {
            return wrong(format!("meta has {} twice", shown(&name)));
        }
        entries.push((name, value));
    }
    Ok(entries)
}

fn read_body(body: &Raw) -> Result<Body, Wrong> {
    if body.is_nil() {
        return Ok(Body::Octets(Bytes::new()));
    }
    Ok(body.octets().map_or_else(|| Body::Value(body.clone()), Body::Octets))
}

fn write_body(out: &mut Out, body: &Body) {
    match body {
        Body::Octets(octets) => {
            let _ = write_bin(out, octets);
        }
        Body::Value(value) => out.extend_from_slice(value.bytes()),
    }
}

/// As str, unless it is no UTF-8.
fn write_text(out: &mut Out, text: &[u8]) {
    let _ = match std::str::from_utf8(text) {
        Ok(text) => write_str(out, text).is_ok(),
        Err(_) => write_bin(out, text).is_ok(),
    };
}
