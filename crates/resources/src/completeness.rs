//! Whether a change file has been written completely. A control machine may see a file while an operator's tool still
//! writes it; read too early, it would be reported as wrong.

/// Whether a change file has been written completely: its last table is `[end]`, and the line of its `changes` ends. If
/// not, the file is still being written, or was truncated.
pub fn is_complete(text: &[u8]) -> bool {
    if text.last() != Some(&b'\n') {
        return false;
    }
    let lines = text.rsplit(|byte| *byte == b'\n').map(<[u8]>::trim_ascii);
    let mut has_count = false;
    for line in lines.filter(|line| !line.is_empty() && line[0] != b'#') {
        match line.strip_prefix(b"[end]") {
            Some(_) => return has_count,
            None if line.starts_with(b"changes") => has_count = true,
            // Another table, or a field of another table.
            None => return false,
        }
    }
    false
}
