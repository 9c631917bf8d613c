//! What was sent, answered and run: one line an event, with the milliseconds since the start of the case.

use std::fmt::Display;
use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

pub struct Record {
    start: Instant,
    file: Mutex<BufWriter<File>>,
}

impl Record {
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self { start: Instant::now(), file: Mutex::new(BufWriter::new(File::create(path)?)) })
    }

    pub fn line(&self, text: impl Display) {
        let ms = self.start.elapsed().as_secs_f64() * 1000.0;
        let _ = writeln!(self.file.lock().unwrap(), "{ms:10.1} {text}");
    }

    /// A line for the record and for the one who runs the case.
    pub fn say(&self, text: impl Display) {
        println!("{text}");
        self.line(text);
    }

    pub fn flush(&self) {
        let _ = self.file.lock().unwrap().flush();
    }
}
