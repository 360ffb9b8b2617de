//! Tells the other process of an upgrade which ids this one has admitted, by files in a folder that both use.
//!
//! Before a process admits an id, it appends a line to the current file and reads what was appended before it. Lines are
//! appended atomically, so that of two processes that are sent the same id at the same time only the first one admits it. A
//! new file is begun each minute; old ones are deleted.

use super::recent_ids::RecentIds;
use std::collections::hash_map::RandomState;
use std::fs::File;
use std::hash::BuildHasher;
use std::io::{self, Read, Seek, SeekFrom, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use thiserror::Error;

/// Time covered by one file, in seconds.
const PERIOD_SECONDS: u64 = 60;
/// Number of files before the current one that a new process reads. With the current one they cover the time for which
/// ids are refused.
const KEPT_PERIODS: u64 = 3;

/// Why an id could not be shared with the other process of an upgrade.
#[derive(Debug, Error)]
pub enum SharedIdsError {
    /// A file can't be written or read.
    #[error("cannot use the files of shared ids: {0}")]
    File(#[from] io::Error),
    /// The current file has reached its maximum size.
    #[error("the file of shared ids is full until the next minute")]
    Full,
}

/// What a line says about an id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Change {
    /// The id was admitted; it is refused for this time.
    Claimed(Duration),
    /// The id was not admitted after all, or its request has not run.
    Released,
}

/// One line of a file: `PROCESS REFUSAL_MS ID`, with 0 ms for a released id.
struct Line<'a> {
    process: &'a str,
    change: Change,
    id: &'a [u8],
}

impl Line<'_> {
    /// Parses a line; `None` if it is malformed.
    fn parse(line: &[u8]) -> Option<Line<'_>> {
        let mut fields = line.splitn(3, |&byte| byte == b' ');
        let process = std::str::from_utf8(fields.next()?).ok()?;
        let refusal_ms = std::str::from_utf8(fields.next()?).ok()?.parse().ok()?;
        let change = match refusal_ms {
            0 => Change::Released,
            _ => Change::Claimed(Duration::from_millis(refusal_ms)),
        };
        let id = fields.next()?;
        Some(Line {
            process,
            change,
            id,
        })
    }

    fn encode(&self) -> Vec<u8> {
        let refusal_ms = match self.change {
            Change::Claimed(refusal) => refusal.as_millis().max(1),
            Change::Released => 0,
        };
        let mut line = format!("{} {refusal_ms} ", self.process).into_bytes();
        line.extend_from_slice(self.id);
        line.push(b'\n');
        line
    }
}

/// A file of one period and how much of it was read.
#[derive(Debug)]
struct PeriodFile {
    period: u64,
    file: File,
    read_bytes: u64,
}

impl PeriodFile {
    /// Reads the complete lines that were appended since the last call.
    fn read_appended(&mut self) -> io::Result<Vec<u8>> {
        let mut appended = Vec::new();
        self.file.seek(SeekFrom::Start(self.read_bytes))?;
        self.file.read_to_end(&mut appended)?;
        let complete = appended
            .iter()
            .rposition(|&byte| byte == b'\n')
            .map_or(0, |end| end + 1);
        appended.truncate(complete);
        self.read_bytes += complete as u64;
        Ok(appended)
    }
}

/// The ids that other processes have admitted, and the files by which they tell it.
#[derive(Debug)]
pub struct SharedIds {
    /// Path of the files, without the number of the period.
    path_prefix: PathBuf,
    /// Distinguishes this process from the others.
    process: String,
    /// The files that are read, in the order of their periods. The last one is the current one.
    files: Vec<PeriodFile>,
    max_file_bytes: u64,
    elsewhere: RecentIds,
}

impl SharedIds {
    /// Opens the files in `folder` of the limiter that listens at `listen`, and reads what other processes have admitted. At
    /// most `max_ids` ids of other processes are remembered, and no file grows beyond `max_file_bytes`.
    ///
    /// # Errors
    ///
    /// The current file can't be created, or a file can't be read.
    pub fn open(
        folder: &Path,
        listen: SocketAddr,
        max_ids: usize,
        max_file_bytes: u64,
    ) -> Result<SharedIds, SharedIdsError> {
        let name = format!("merlinreel-ids-{}-{}-", listen.ip(), listen.port());
        let mut shared = SharedIds {
            path_prefix: folder.join(name),
            process: format!("{:016x}", RandomState::new().hash_one(listen)),
            files: Vec::new(),
            max_file_bytes,
            elsewhere: RecentIds::new(max_ids),
        };
        let period = current_period();
        for earlier in period.saturating_sub(KEPT_PERIODS)..period {
            if let Ok(file) = File::open(shared.path(earlier)) {
                shared.add_file(earlier, file);
            }
        }
        shared.begin_period(period)?;
        shared.read_appended(None, Instant::now())?;
        Ok(shared)
    }

    /// Claims an id for this process, which refuses it for `refusal` afterwards. Returns whether this process may admit it;
    /// if not, another process has.
    ///
    /// # Errors
    ///
    /// The files can't be used. Whether another process has admitted the id is not known.
    pub fn claim(&mut self, id: &[u8], refusal: Duration) -> Result<bool, SharedIdsError> {
        self.claim_in(current_period(), id, refusal)
    }

    fn claim_in(
        &mut self,
        period: u64,
        id: &[u8],
        refusal: Duration,
    ) -> Result<bool, SharedIdsError> {
        self.begin_period(period)?;
        self.append(id, Change::Claimed(refusal))?;
        let is_first = self.read_appended(Some(id), Instant::now())?;
        if !is_first {
            self.append(id, Change::Released)?;
        }
        Ok(is_first)
    }

    /// Takes back a claim of this process: the request has not run.
    ///
    /// # Errors
    ///
    /// The files can't be used. Other processes refuse the id for some time.
    pub fn release(&mut self, id: &[u8]) -> Result<(), SharedIdsError> {
        self.append(id, Change::Released)
    }

    fn path(&self, period: u64) -> PathBuf {
        let mut path = self.path_prefix.clone().into_os_string();
        path.push(period.to_string());
        path.into()
    }

    fn add_file(&mut self, period: u64, file: File) {
        self.files.push(PeriodFile {
            period,
            file,
            read_bytes: 0,
        });
    }

    /// Opens the file of the period, if that is a new one, and deletes those that are no longer needed.
    fn begin_period(&mut self, period: u64) -> io::Result<()> {
        if self.files.last().is_some_and(|last| last.period >= period) {
            return Ok(());
        }
        let file = File::options()
            .create(true)
            .append(true)
            .read(true)
            .open(self.path(period))?;
        self.add_file(period, file);
        let oldest = period.saturating_sub(KEPT_PERIODS);
        let (expired, kept) = std::mem::take(&mut self.files)
            .into_iter()
            .partition(|file| file.period < oldest);
        self.files = kept;
        for PeriodFile { period, .. } in expired {
            // The other process may have deleted it.
            let _ = std::fs::remove_file(self.path(period));
        }
        Ok(())
    }

    fn append(&mut self, id: &[u8], change: Change) -> Result<(), SharedIdsError> {
        let line = Line {
            process: &self.process,
            change,
            id,
        };
        let encoded = line.encode();
        let Some(current) = self.files.last_mut() else {
            return Ok(());
        };
        if current.read_bytes >= self.max_file_bytes {
            return Err(SharedIdsError::Full);
        }
        current.file.write_all(&encoded)?;
        Ok(())
    }

    /// Reads what was appended since the last call. Returns whether no other process had claimed `claimed` before the line
    /// in which this process claims it.
    fn read_appended(&mut self, claimed: Option<&[u8]>, now: Instant) -> io::Result<bool> {
        let mut is_first = true;
        for file in &mut self.files {
            let appended = file.read_appended()?;
            let lines = appended.split(|&byte| byte == b'\n');
            for line in lines.filter_map(Line::parse) {
                if line.process == self.process {
                    if claimed == Some(line.id) && line.change != Change::Released {
                        is_first = !self.elsewhere.contains(&line.id, now);
                    }
                    continue;
                }
                match line.change {
                    Change::Claimed(refusal) => {
                        self.elsewhere.insert(&line.id, now, now + refusal);
                    }
                    Change::Released => self.elsewhere.remove(&line.id),
                }
            }
        }
        Ok(is_first)
    }
}

/// The number of the current period.
fn current_period() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.unwrap_or_default().as_secs() / PERIOD_SECONDS
}

#[cfg(test)]
mod tests;
