//! Follows the folder of change files, and appends its changes to the publisher's log.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::folder::{ChangeFileId, ChangeFolder, NextChange};
use crate::notice::Notice;
use crate::sessions::Sessions;
use crate::watch::FolderWatch;

/// How often the next file is looked for without a watch event, and a watch that could not be set is set again: a
/// third of the time in which a change must be in force.
const RESCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the folder into the publisher.
pub(crate) struct LogReader {
    sessions: Rc<Sessions>,
    folder: ChangeFolder,
    watch: Option<FolderWatch>,
    /// The result of the last attempt to set a watch, as it was reported.
    reported: Option<ScanReport>,
}

/// The result of setting a watch and listing the folder.
#[derive(PartialEq, Eq)]
struct ScanReport {
    /// Why the folder is not watched, if it is not.
    watch_error: Option<String>,
    notices: Vec<Notice>,
}

impl LogReader {
    pub(crate) fn new(sessions: Rc<Sessions>, folder: ChangeFolder) -> Self {
        Self { sessions, folder, watch: None, reported: None }
    }

    /// Reads every change that is there now.
    pub(crate) fn read_all(&mut self) {
        self.scan_folder();
        while self.read_next() {}
        self.publish_status();
    }

    /// Follows the folder without end.
    pub(crate) async fn follow(mut self) {
        loop {
            self.wait().await;
            self.scan_folder();
            while self.read_next() {
                // Sessions are served between two changes.
                yield_now().await;
            }
            self.publish_status();
        }
    }

    /// Waits for a watch event, at most for [`RESCAN_INTERVAL`].
    async fn wait(&self) {
        match &self.watch {
            Some(watch) => _ = timeout(RESCAN_INTERVAL, watch.changed()).await,
            None => sleep(RESCAN_INTERVAL).await,
        }
    }

    /// Handles the watch events. Without a watch, or with one on a folder that was replaced, it sets a new one and lists
    /// the folder.
    fn scan_folder(&mut self) {
        let Some(watch) = self.watch.as_ref().filter(|watch| watch.follows(self.folder.path()))
        else {
            return self.set_watch();
        };
        let events = watch.take();
        if events.lost {
            log_notices(self.folder.list());
        }
        for name in events.names {
            log_notices(self.folder.handle_file_event(&name));
        }
    }

    fn set_watch(&mut self) {
        let watch = FolderWatch::new(self.folder.path());
        let watch_error = watch.as_ref().err().map(ToString::to_string);
        self.watch = watch.ok();
        // The watch has no events of files that were there before it.
        let report = ScanReport { watch_error, notices: self.folder.list() };
        if self.reported.as_ref() == Some(&report) {
            return;
        }
        if let Some(error) = &report.watch_error {
            let path = self.folder.path().display();
            eprintln!("sableloom: {path}: not watched, only read from time to time: {error}");
        }
        log_notices(report.notices.iter().cloned());
        self.reported = Some(report);
    }

    /// Gives the publisher the progress of reading, for its status.
    fn publish_status(&self) {
        let status = self.folder.status();
        self.sessions.with_publisher(|publisher, _, _| publisher.set_log_status(status));
    }

    /// Reads the next change, if there is one. Whether it was appended to the log.
    fn read_next(&mut self) -> bool {
        let next = self.folder.read_next(&*self.sessions.store());
        let entry = match next {
            NextChange::Ready(entry) => entry,
            NextChange::NotReady(notice) => {
                log_notices(notice);
                return false;
            }
        };
        let read = ChangeFileId::of_entry(&entry);
        let appended = self
            .sessions
            .with_publisher(|publisher, now, outputs| publisher.append(now, entry, outputs));
        match appended {
            Ok(_) => {
                self.folder.record_appended(read);
                true
            }
            Err(error) => {
                log_notices(self.folder.record_rejected(read, &error));
                false
            }
        }
    }
}

fn log_notices(notices: impl IntoIterator<Item = Notice>) {
    for notice in notices {
        for line in notice.to_string().lines() {
            eprintln!("sableloom: changes: {line}");
        }
    }
}
