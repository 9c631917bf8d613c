//! Compares two answers to the same request.

use crate::json::Json;
use crate::pattern::{Pattern, Step};

/// Maximum number of differences that are reported for one pair.
pub const MAX_DIFFERENCES: usize = 32;
/// Maximum length of an excerpt of a value, in characters.
const MAX_EXCERPT: usize = 60;

/// Rules of a comparison.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ComparisonRules {
    /// Header fields that are compared, in lower case; all others may differ.
    pub headers: Vec<String>,
    /// Members of JSON answers that are ignored.
    pub ignore: Vec<Pattern>,
    /// Lists in JSON answers whose order is ignored.
    pub unordered: Vec<Pattern>,
}

/// One of the two answers.
#[derive(Clone, Copy, Debug)]
pub struct ComparedAnswer<'a> {
    /// The values of the compared header fields, in the order of the rules.
    pub headers: &'a [Option<&'a [u8]>],
    /// Its body.
    pub body: &'a [u8],
}

/// The kind of a difference.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DifferenceKind {
    /// Missing at the candidate.
    Missing,
    /// Present at the candidate only.
    Added,
    /// A different type.
    Type,
    /// A different value.
    Value,
    /// A list of a different length.
    Length,
    /// A name that occurs twice in one object on one side: which one counts is up to the reader (RFC 8259,
    /// section 4).
    DuplicateName,
    /// Different bodies, at least one of which is not JSON.
    Bytes,
}

impl DifferenceKind {
    /// Its name in reports.
    pub fn name(self) -> &'static str {
        match self {
            DifferenceKind::Missing => "missing",
            DifferenceKind::Added => "added",
            DifferenceKind::Type => "type",
            DifferenceKind::Value => "value",
            DifferenceKind::Length => "length",
            DifferenceKind::DuplicateName => "twice",
            DifferenceKind::Bytes => "bytes",
        }
    }
}

/// One difference.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Difference {
    /// What differs: a pointer in which `*` stands for any index of a list, `field NAME`, or `body`.
    pub path: String,
    /// The kind.
    pub kind: DifferenceKind,
    /// The live value, truncated.
    pub live: String,
    /// The candidate's value, truncated.
    pub candidate: String,
}

/// All differences, but at most [`MAX_DIFFERENCES`].
pub fn compare(
    rules: &ComparisonRules,
    live: ComparedAnswer<'_>,
    candidate: ComparedAnswer<'_>,
) -> Vec<Difference> {
    let mut comparison = Comparison { rules, differences: Vec::new() };
    comparison.headers(&live, &candidate);
    if live.body == candidate.body {
        return comparison.differences;
    }
    match (Json::parse(live.body), Json::parse(candidate.body)) {
        (Some(live), Some(candidate)) => comparison.values(&mut Vec::new(), &live, &candidate),
        _ => comparison.bytes(live.body, candidate.body),
    }
    comparison.differences
}

fn excerpt(text: &str) -> String {
    match text.char_indices().nth(MAX_EXCERPT) {
        Some((end, _)) => format!("{}…", &text[..end]),
        None => text.to_string(),
    }
}

/// The differences found so far.
struct Comparison<'r> {
    rules: &'r ComparisonRules,
    differences: Vec<Difference>,
}

impl Comparison<'_> {
    fn headers(&mut self, live: &ComparedAnswer<'_>, candidate: &ComparedAnswer<'_>) {
        for (i, name) in self.rules.headers.iter().enumerate() {
            let value = |answer: &ComparedAnswer<'_>| -> Option<Vec<u8>> {
                answer.headers.get(i).copied().flatten().map(<[u8]>::to_vec)
            };
            let (live, candidate) = (value(live), value(candidate));
            let kind = match (&live, &candidate) {
                (Some(_), None) => DifferenceKind::Missing,
                (None, Some(_)) => DifferenceKind::Added,
                (live, candidate) if live != candidate => DifferenceKind::Value,
                _ => continue,
            };
            let text = |value: Option<Vec<u8>>| {
                excerpt(&String::from_utf8_lossy(&value.unwrap_or_default()))
            };
            self.add(format!("field {name}"), kind, text(live), text(candidate));
        }
    }

    fn add(&mut self, path: String, kind: DifferenceKind, live: String, candidate: String) {
        if !self.is_full() {
            self.differences.push(Difference { path, kind, live, candidate });
        }
    }

    /// Whether the maximum is reached, so that the comparison can stop.
    fn is_full(&self) -> bool {
        self.differences.len() >= MAX_DIFFERENCES
    }

    fn differ(
        &mut self,
        path: &[Step<'_>],
        kind: DifferenceKind,
        a: Option<&Json>,
        b: Option<&Json>,
    ) {
        let text_path = match path.is_empty() {
            true => "body".to_string(),
            false => path
                .iter()
                .map(|step| match step {
                    Step::Member(name) => {
                        format!("/{}", name.replace('~', "~0").replace('/', "~1"))
                    }
                    Step::Index(_) => "/*".to_string(),
                })
                .collect(),
        };
        let text = |v: Option<&Json>| v.map_or(String::new(), |v| excerpt(&v.to_string()));
        self.add(text_path, kind, text(a), text(b));
    }

    fn values<'j>(&mut self, path: &mut Vec<Step<'j>>, a: &'j Json, b: &'j Json) {
        if self.is_full() || self.rules.ignore.iter().any(|pattern| pattern.includes(path)) {
            return;
        }
        match (a, b) {
            (Json::Object(x), Json::Object(y)) => self.members(path, x, y),
            (Json::Array(x), Json::Array(y)) => self.elements(path, x, y),
            _ if a.equals(b) => {}
            _ if a.type_name() != b.type_name() => {
                self.differ(path, DifferenceKind::Type, Some(a), Some(b))
            }
            _ => self.differ(path, DifferenceKind::Value, Some(a), Some(b)),
        }
    }

    /// Compares the elements of two lists.
    fn elements<'j>(&mut self, path: &mut Vec<Step<'j>>, a: &'j [Json], b: &'j [Json]) {
        if a.len() != b.len() {
            let [a, b] = [a.len(), b.len()].map(|length| Json::Integer(length as i128));
            self.differ(path, DifferenceKind::Length, Some(&a), Some(&b));
        }
        let (mut a, mut b): (Vec<_>, Vec<_>) = (a.iter().collect(), b.iter().collect());
        if self.rules.unordered.iter().any(|pattern| pattern.selects(path)) {
            a.sort_by_cached_key(|value| value.sort_key());
            b.sort_by_cached_key(|value| value.sort_key());
        }
        for (i, (a, b)) in a.into_iter().zip(b).enumerate() {
            path.push(Step::Index(i));
            self.values(path, a, b);
            path.pop();
        }
    }

    /// Compares the members of two objects, both sorted by name.
    fn members<'j>(
        &mut self,
        path: &mut Vec<Step<'j>>,
        x: &'j [(String, Json)],
        y: &'j [(String, Json)],
    ) {
        let (mut i, mut j) = (0, 0);
        while (i < x.len() || j < y.len()) && !self.is_full() {
            let name = match (x.get(i), y.get(j)) {
                (Some((a, _)), Some((b, _))) => a.min(b),
                (Some((a, _)), None) => a,
                (_, Some((b, _))) => b,
                (None, None) => return,
            };
            let run = |of: &'j [(String, Json)], from: usize| {
                of[from..].iter().take_while(|(n, _)| n == name).count()
            };
            let (m, n) = (run(x, i), run(y, j));
            path.push(Step::Member(name));
            let ignored = self.rules.ignore.iter().any(|pattern| pattern.includes(path));
            let (a, b) = (x.get(i).map(|(_, v)| v), y.get(j).map(|(_, v)| v));
            match (m, n) {
                _ if ignored => {}
                (1, 1) => {
                    if let (Some(a), Some(b)) = (a, b) {
                        self.values(path, a, b);
                    }
                }
                (0, _) => self.differ(path, DifferenceKind::Added, None, b),
                (_, 0) => self.differ(path, DifferenceKind::Missing, a, None),
                // Equal on both sides is equal, even if a name occurs twice.
                _ if x[i..i + m] == y[j..j + n] => {}
                _ => self.differ(path, DifferenceKind::DuplicateName, a, b),
            }
            path.pop();
            (i, j) = (i + m, j + n);
        }
    }

    /// Reports the first bytes that differ.
    fn bytes(&mut self, a: &[u8], b: &[u8]) {
        let first = a.iter().zip(b).position(|(a, b)| a != b).unwrap_or(a.len().min(b.len()));
        let near = |body: &[u8]| {
            let part = &body[first..body.len().min(first + MAX_EXCERPT)];
            format!(
                "{} bytes, from {first}: {}",
                body.len(),
                excerpt(&part.escape_ascii().to_string())
            )
        };
        self.add("body".to_string(), DifferenceKind::Bytes, near(a), near(b));
    }
}
