//! A request as an operator writes it on the command line.

use hyper::{HeaderMap, Method, Uri, header};

/// A request's head.
pub(super) struct Request {
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
}

/// Why a text is no request.
#[derive(Debug, thiserror::Error)]
pub(crate) enum RequestError {
    /// Its first line lacks a method or a target.
    #[error("--request: expected a method and a target, as \"GET /balance/7\"")]
    Incomplete,
    /// The word after the target is no version.
    #[error("--request: {0:?} is no version of HTTP")]
    Version(String),
    /// The first word is no method.
    #[error("--request: {0:?} is no method")]
    Method(String),
    /// The second word is no target.
    #[error("--request: {target:?}: {cause}")]
    Target {
        /// The word.
        target: String,
        /// Why.
        cause: hyper::http::uri::InvalidUri,
    },
    /// A header line has no colon.
    #[error("{0:?} is no header: it has no colon")]
    NoColon(String),
    /// The name of a header is malformed.
    #[error("{0:?} is no header's name")]
    HeaderName(String),
    /// The value of a header is malformed.
    #[error("{0:?}: no header's value")]
    HeaderValue(String),
}

/// Parses the first line, perhaps without the version, and the header lines of `text` and of `headers`.
pub(super) fn parse_request(text: &str, headers: &[String]) -> Result<Request, RequestError> {
    // Shells pass line ends on as two characters.
    let text = text.replace("\\r", "").replace("\\n", "\n");
    let mut lines = text.lines();
    let (method, uri) = parse_first_line(lines.next().unwrap_or_default())?;
    let mut parsed = HeaderMap::new();
    let options = headers.iter().map(String::as_str);
    for line in lines.filter(|line| !line.trim().is_empty()).chain(options) {
        let (name, value) = parse_header(line)?;
        parsed.append(name, value);
    }
    if let Some(host) = uri.authority().and_then(|a| a.as_str().parse().ok()) {
        parsed.insert(header::HOST, host);
    }
    Ok(Request { method, uri, headers: parsed })
}

fn parse_first_line(line: &str) -> Result<(Method, Uri), RequestError> {
    let mut words = line.split_whitespace();
    let (Some(method), Some(target)) = (words.next(), words.next()) else {
        return Err(RequestError::Incomplete);
    };
    if let Some(version) = words.next().filter(|version| !version.starts_with("HTTP/")) {
        return Err(RequestError::Version(version.to_string()));
    }
    let method = method.parse().map_err(|_| RequestError::Method(method.to_string()))?;
    let uri = target
        .parse()
        .map_err(|cause| RequestError::Target { target: target.to_string(), cause })?;
    Ok((method, uri))
}

fn parse_header(line: &str) -> Result<(header::HeaderName, header::HeaderValue), RequestError> {
    let (name, value) =
        line.split_once(':').ok_or_else(|| RequestError::NoColon(line.to_string()))?;
    let name = name.trim().parse().map_err(|_| RequestError::HeaderName(name.to_string()))?;
    let value = value.trim().parse().map_err(|_| RequestError::HeaderValue(line.to_string()))?;
    Ok((name, value))
}
