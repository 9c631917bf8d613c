//! Problems of an operator's files, shown with the lines that they are about.

use std::collections::BTreeMap;
use std::fmt;
use std::io::IsTerminal;
use std::path::Path;

use miette::{
    GraphicalReportHandler, GraphicalTheme, LabeledSpan, MietteDiagnostic, NamedSource, Report,
};
use sableloom_server_files::read_file;
use sableloom_toml_diagnostics::Problem;

/// Columns that a report is wrapped at.
const REPORT_WIDTH: usize = 160;

/// All problems of a file and of the files that it names, rendered for a terminal.
#[derive(Debug)]
pub(crate) struct ProblemReport(String);

impl ProblemReport {
    /// Renders problems of the file at `path` and of files relative to its folder. Their text is read again, to show
    /// the lines.
    pub(crate) fn new(path: &Path, problems: &[Problem]) -> Self {
        let theme = match std::io::stderr().is_terminal() {
            true => GraphicalTheme::unicode(),
            false => GraphicalTheme::unicode_nocolor(),
        };
        let handler = GraphicalReportHandler::new_themed(theme).with_width(REPORT_WIDTH);
        let mut texts: BTreeMap<&str, Option<String>> = BTreeMap::new();
        let mut rendered = format!("{} problems\n", problems.len());
        for problem in problems {
            let text = texts.entry(&problem.file).or_insert_with(|| text_of(path, &problem.file));
            let report = diagnostic(problem, text.as_deref());
            if handler.render_report(&mut rendered, &*report).is_err() {
                rendered += &format!("{problem}\n");
            }
        }
        Self(rendered.trim_end().to_string())
    }
}

impl fmt::Display for ProblemReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// The text of a file that a problem names.
fn text_of(path: &Path, file: &str) -> Option<String> {
    let folder = path.parent().unwrap_or(Path::new(""));
    let is_main = path.display().to_string() == file;
    let at = if is_main { path.to_path_buf() } else { folder.join(file) };
    read_file(&at).ok().and_then(|bytes| String::from_utf8(bytes).ok())
}

/// A problem with its help, and with its place in the text if that is known.
fn diagnostic(problem: &Problem, text: Option<&str>) -> Report {
    let without_help = Problem { help: None, ..problem.clone() };
    let mut diagnostic = MietteDiagnostic::new(without_help.to_string());
    if let Some(help) = &problem.help {
        diagnostic = diagnostic.with_help(help.clone());
    }
    match text {
        Some(text) if !problem.span.is_empty() && problem.span.end <= text.len() => {
            let label = LabeledSpan::at(problem.span.clone(), "here");
            let source = NamedSource::new(&problem.file, text.to_string());
            Report::new(diagnostic.with_label(label)).with_source_code(source)
        }
        _ => Report::new(diagnostic),
    }
}
