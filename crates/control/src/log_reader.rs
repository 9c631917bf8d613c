//! Follows the folder of change files, and appends its changes to the publisher's log.

use std::rc::Rc;
use std::time::Duration;

use tokio::task::yield_now;
use tokio::time::{sleep, timeout};

use crate::folder::{ChangeFileId, ChangeFolder, NextChange};
use crate::notice::Notice;
use crate::sessions::Sessions;
use crate::watch::FolderWatch;

/// The longest wait for a watch event, after which the reader looks for the next file without one. It is also the
/// interval at which setting a watch is retried. This is a third of the 6 s within which a change must be in force.
const RESCAN_INTERVAL: Duration = Duration::from_secs(2);

/// Reads the change files of a folder, and appends their changes to the log of the publisher.
pub(crate) struct LogReader {
    sessions: Rc<Sessions>,
    folder: ChangeFolder,
    watch: Option<FolderWatch>,
    /// The result of the last attempt to set a watch, which is logged only when it changes.
    last_scan: Option<ScanResult>,
}

/// The result of setting a watch and listing the folder.
#[derive(PartialEq, Eq)]
struct ScanResult {
    /// The error of setting the watch; `None` if the watch is set.
    watch_error: Option<String>,
    notices: Vec<Notice>,
}

impl LogReader {
    pub(crate) fn new(sessions: Rc<Sessions>, folder: ChangeFolder) -> Self {
        Self { sessions, folder, watch: None, last_scan: None }
    }

    /// Applies every complete change file that exists now, up to the first one that can't be applied.
    pub(crate) fn read_available(&mut self) {
        self.scan_folder();
        while self.append_next() {}
        self.publish_status();
    }

    /// Applies change files as they appear. The function never returns.
    pub(crate) async fn follow(mut self) {
        loop {
            self.wait_for_event().await;
            self.scan_folder();
            while self.append_next() {
                // Between two changes, other tasks run, so that sessions are served.
                yield_now().await;
            }
            self.publish_status();
        }
    }

    /// Waits for a watch event, for at most [`RESCAN_INTERVAL`].
    async fn wait_for_event(&self) {
        match &self.watch {
            Some(watch) => _ = timeout(RESCAN_INTERVAL, watch.wait_for_event()).await,
            None => sleep(RESCAN_INTERVAL).await,
        }
    }

    /// Handles the watch events. If there is no watch, or the watched folder was replaced by another one, this sets a
    /// new watch and lists the folder.
    fn scan_folder(&mut self) {
        let Some(watch) = self.watch.as_ref().filter(|watch| watch.is_watching(self.folder.path()))
        else {
            return self.set_watch_and_list();
        };
        let events = watch.take_events();
        if events.incomplete {
            log_notices(self.folder.list());
        }
        for name in events.names {
            log_notices(self.folder.handle_file_event(&name));
        }
    }

    /// Sets a new watch and lists the folder. The result is logged if it differs from that of the last attempt.
    fn set_watch_and_list(&mut self) {
        let watch = FolderWatch::new(self.folder.path());
        let watch_error = watch.as_ref().err().map(ToString::to_string);
        self.watch = watch.ok();
        // The watch reports no events for files that existed before it was set.
        let scan = ScanResult { watch_error, notices: self.folder.list() };
        if self.last_scan.as_ref() == Some(&scan) {
            return;
        }
        if let Some(error) = &scan.watch_error {
            let path = self.folder.path().display();
            eprintln!(
                "sableloom: {path}: not watched; the folder is read at intervals instead: {error}"
            );
        }
        log_notices(scan.notices.iter().cloned());
        self.last_scan = Some(scan);
    }

    /// Passes the progress of reading to the publisher, whose status includes it.
    fn publish_status(&self) {
        let status = self.folder.status();
        self.sessions.with_publisher(|publisher, _, _| publisher.set_log_status(status));
    }

    /// Reads the next change and appends it to the log. Returns `false` if there is none or it can't be applied; the
    /// reason is logged once.
    fn append_next(&mut self) -> bool {
        let next_change = self.folder.read_next(&*self.sessions.store());
        let entry = match next_change {
            NextChange::Ready(entry) => entry,
            NextChange::NotReady(notice) => {
                log_notices(notice);
                return false;
            }
        };
        let file_id = ChangeFileId::of_entry(&entry);
        let appended = self
            .sessions
            .with_publisher(|publisher, now, outputs| publisher.append(now, entry, outputs));
        match appended {
            Ok(_) => {
                self.folder.record_appended(file_id);
                true
            }
            Err(error) => {
                log_notices(self.folder.record_rejected(file_id, &error));
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
