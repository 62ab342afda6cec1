//! Rules that all reports between VMs share: how often an entry is repeated, which entries the next report carries, and
//! the time of a reported observation.

use std::time::{Duration, SystemTime};

/// Reports that carry an entry, so that it arrives although some reports are lost.
pub(crate) const REPORTS_PER_ENTRY: u32 = 3;
/// Highest number of entries in a report that fewer than [`REPORTS_PER_ENTRY`] reports have carried so far.
const MAX_NEW_ENTRIES: usize = 16;
/// Highest number of other entries that a report repeats, in rotation, for VMs that missed all earlier reports of them.
const MAX_REPEATED_ENTRIES: usize = 2;

/// The entries of the next report, from all entries and the number of reports that carried each of them: those that
/// were not reported often enough, or else a few of the others, the least reported first.
pub(crate) fn least_reported<T: Ord>(all: impl Iterator<Item = (T, u32)>) -> Vec<T> {
    let mut all: Vec<(u32, T)> = all.map(|(entry, report_count)| (report_count, entry)).collect();
    all.sort();
    let new = all.iter().take_while(|(report_count, _)| *report_count < REPORTS_PER_ENTRY).count();
    all.truncate(new.clamp(MAX_REPEATED_ENTRIES, MAX_NEW_ENTRIES));
    all.into_iter().map(|(_, entry)| entry).collect()
}

/// Upper bound on the one-way delay of a report, so that an observation that comes back by way of other VMs never looks
/// newer than it was.
pub(crate) const MAX_ONE_WAY_DELAY: Duration = Duration::from_millis(50);

/// The time of an observation that another VM reports with its age; the Unix epoch if the age is out of range.
pub(crate) fn time_from_age(age: Duration, now: SystemTime) -> SystemTime {
    now.checked_sub(age.saturating_add(MAX_ONE_WAY_DELAY)).unwrap_or(SystemTime::UNIX_EPOCH)
}
