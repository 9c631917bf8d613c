//! The params of a call, and its result or error: the mapping that `docs/specs/msgpack-rpc.md` specifies.

use bytes::Bytes;
use rmp::encode::{
    write_array_len, write_bin, write_bool, write_map_len, write_nil, write_str, write_uint,
};

use crate::encode::Out;
use crate::{FormatError, Raw};

/// Most names in a call's meta.
const MAX_NAMES: usize = 100;
/// Most characters of a name in a message of an error.
const MAX_DISPLAYED_CHARACTERS: usize = 40;
/// Longest name or value in it, in bytes.
const MAX_TEXT_BYTES: usize = 8 << 10;

/// The body of a call or of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Body {
    /// Bytes, like a body of HTTP.
    Octets(Bytes),
    /// A value of MessagePack, as bytes of the media type `application/msgpack`.
    Value(Raw),
}

/// The params of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Call {
    /// Its id.
    pub id: Option<Bytes>,
    /// How long its client waits, in milliseconds.
    pub expires_ms: Option<u64>,
    /// Its routing key.
    pub key: Option<Bytes>,
    /// By which servers recognise repeats of it.
    pub idempotency_key: Option<Bytes>,
    /// Its tenant.
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
    pub fn read(params: &Raw, bare: bool) -> Result<Self, FormatError> {
        let Some(parts) = params.array() else { return Err(FormatError::ParamsNotArray) };
        if bare {
            return Ok(Self::bare(Body::Value(params.clone())));
        }
        let [meta, body] = parts.as_slice() else {
            return Err(FormatError::ParamsLength(parts.len()));
        };
        let mut call = Self::bare(read_body(body)?);
        for (name, value) in entries(meta)? {
            let text = || match value.octets() {
                Some(text) if text.len() <= MAX_TEXT_BYTES => Ok(Some(text)),
                Some(_) => {
                    let name = displayed(&name);
                    Err(FormatError::ValueTooLong { name, limit: MAX_TEXT_BYTES })
                }
                None => Err(FormatError::ValueNotText(displayed(&name))),
            };
            match &name[..] {
                b"id" => call.id = text()?,
                b"key" => call.key = text()?,
                b"idempotency_key" => call.idempotency_key = text()?,
                b"tenant" => call.tenant = text()?,
                b"target" => call.target = text()?,
                b"expires_ms" => match value.uint() {
                    Some(ms) => call.expires_ms = Some(ms),
                    None => return Err(FormatError::ExpiresNotNumber),
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

/// The result of a call that was served.
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
    pub fn read(result: &Raw, bare: bool) -> Result<Self, FormatError> {
        if bare {
            return Ok(Self { fields: Vec::new(), body: Body::Value(result.clone()) });
        }
        let parts = result.array().unwrap_or_default();
        let [meta, body] = parts.as_slice() else { return Err(FormatError::ResultNotPair) };
        let mut fields = Vec::new();
        for (name, value) in entries(meta)? {
            match value.octets().filter(|text| text.len() <= MAX_TEXT_BYTES) {
                Some(text) => fields.push((name, text)),
                None => return Err(FormatError::ValueNotText(displayed(&name))),
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

/// The kind of a failure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCode {
    /// Rejected: it was not executed and may be repeated, like HTTP's 503.
    Rejected = 1,
    /// Failed: it may have been executed, like HTTP's 502.
    Failed = 2,
    /// It is malformed: HTTP's 400.
    Malformed = 3,
    /// No method of this name: HTTP's 404.
    NoMethod = 4,
    /// Its id is that of another open call: HTTP's 409.
    DuplicateId = 5,
    /// It or its body is too large: HTTP's 413.
    TooLarge = 6,
}

impl FailureCode {
    const ALL: [FailureCode; 6] = [
        FailureCode::Rejected,
        FailureCode::Failed,
        FailureCode::Malformed,
        FailureCode::NoMethod,
        FailureCode::DuplicateId,
        FailureCode::TooLarge,
    ];
}

/// A failure, as it stands in a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Failure {
    /// Its kind.
    pub code: FailureCode,
    /// A message for people.
    pub text: String,
    /// It was not executed: a repeat can't have its effect twice.
    pub safe_to_retry: bool,
    /// When to come back, in milliseconds, if that is stated.
    pub retry_after_ms: Option<u64>,
}

impl Failure {
    /// Reads an error of the form `[code, text, may_try_again, come_back_ms]`.
    ///
    /// # Errors
    ///
    /// If the error is no array of a code, a text, a flag and a delay.
    pub fn read(error: &Raw) -> Result<Self, FormatError> {
        let parts = error.array().unwrap_or_default();
        let [code, text, safe_to_retry, retry_after] = parts.as_slice() else {
            return Err(FormatError::ErrorNotFour);
        };
        let code = code.uint().and_then(|n| FailureCode::ALL.into_iter().find(|c| *c as u64 == n));
        let text = text.text().map(|t| String::from_utf8_lossy(&t).into_owned());
        let states_delay = retry_after.uint().is_some();
        match (code, text, safe_to_retry.flag()) {
            (Some(code), Some(text), Some(safe_to_retry))
                if states_delay || retry_after.is_nil() =>
            {
                Ok(Self { code, text, safe_to_retry, retry_after_ms: retry_after.uint() })
            }
            _ => Err(FormatError::ErrorPart),
        }
    }

    /// Writes it.
    pub fn write(&self, out: &mut Out) {
        let _ = write_array_len(out, 4);
        let _ = write_uint(out, self.code as u64);
        let _ = write_str(out, &self.text);
        let _ = write_bool(out, self.safe_to_retry);
        let _ = match self.retry_after_ms {
            Some(ms) => write_uint(out, ms).is_ok(),
            None => write_nil(out).is_ok(),
        };
    }
}

/// A name for a message, cut to a length that fits one line.
fn displayed(name: &[u8]) -> String {
    let name: String =
        String::from_utf8_lossy(name).chars().take(MAX_DISPLAYED_CHARACTERS).collect();
    format!("{name:?}")
}

/// A map's entries with texts for names, each once.
fn entries(meta: &Raw) -> Result<Vec<(Bytes, Raw)>, FormatError> {
    let Some(map) = meta.map() else { return Err(FormatError::MetaNotMap) };
    if map.len() > MAX_NAMES {
        return Err(FormatError::TooManyNames(MAX_NAMES));
    }
    let mut entries: Vec<(Bytes, Raw)> = Vec::with_capacity(map.len());
    for (name, value) in map {
        let Some(name) = name.text().filter(|n| n.len() <= MAX_TEXT_BYTES) else {
            return Err(FormatError::NameNotText);
        };
        if entries.iter().any(|(other, _)| *other == name) {
            return Err(FormatError::DuplicateName(displayed(&name)));
        }
        entries.push((name, value));
    }
    Ok(entries)
}

fn read_body(body: &Raw) -> Result<Body, FormatError> {
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
