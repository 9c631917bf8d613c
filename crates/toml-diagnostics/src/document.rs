//! A file that is being read, with the problems found in it so far.

use std::cell::{Cell, RefCell};
use std::ops::Range;

use crate::problem::{MAX_PROBLEMS, Problem};

/// A file that is being read.
pub(crate) struct Document<'t> {
    file: &'t str,
    text: &'t str,
    /// Where each line starts, in bytes.
    line_starts: Vec<usize>,
    problems: RefCell<Vec<Problem>>,
    /// Number of problems beyond [`MAX_PROBLEMS`].
    suppressed: Cell<usize>,
}

impl<'t> Document<'t> {
    pub(crate) fn new(file: &'t str, text: &'t str) -> Self {
        let breaks = text.bytes().enumerate().filter(|(_, b)| *b == b'\n').map(|(i, _)| i + 1);
        let line_starts = std::iter::once(0).chain(breaks).collect();
        let (problems, suppressed) = (RefCell::default(), Cell::new(0));
        Self { file, text, line_starts, problems, suppressed }
    }

    /// The line and the column of a byte, both from 1; columns count characters.
    pub(crate) fn line_and_column(&self, offset: usize) -> (usize, usize) {
        let offset = offset.min(self.text.len());
        let line = self.line_starts.partition_point(|start| *start <= offset);
        let start = self.line_starts[line - 1];
        let before = self.text.get(start..offset).unwrap_or_default();
        (line, before.chars().count() + 1)
    }

    /// Adds a problem, or counts it if there are [`MAX_PROBLEMS`] already.
    pub(crate) fn report(
        &self,
        span: Range<usize>,
        field: String,
        message: String,
        help: Option<String>,
    ) {
        let mut problems = self.problems.borrow_mut();
        if problems.len() >= MAX_PROBLEMS {
            return self.suppressed.set(self.suppressed.get() + 1);
        }
        let (line, column) = self.line_and_column(span.start);
        let file = self.file.to_string();
        problems.push(Problem { file, span, line, column, field, message, help });
    }

    /// All problems in the order of the file, then the number of those that were only counted.
    pub(crate) fn into_problems(self) -> Vec<Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.span.start);
        if self.suppressed.get() > 0 {
            let more = format!("{} more problems are not told", self.suppressed.get());
            problems.push(Problem::of_file(self.file, more));
        }
        problems
    }
}
