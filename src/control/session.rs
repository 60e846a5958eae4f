//! Session marks: the log position that the next read of each session must include.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::{SessionName, WorkspaceName};
use crate::position::LogPosition;

/// Session of a workspace; callers that give no session name share one session of the workspace.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SessionKey {
    /// The workspace.
    pub workspace: WorkspaceName,
    /// Name of the session, if the caller gave one.
    pub session: Option<SessionName>,
}

/// Bounds of [`SessionMarks`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SessionSettings {
    /// Maximum number of marks kept for one database.
    pub max_marks: usize,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self { max_marks: 10_000 }
    }
}

/// Highest position that each session of one database has seen, by a write or by a read.
///
/// A mark is dropped only when the low-water mark has reached it. Memory stays bounded, and no
/// session is served anything older than what it has seen.
#[derive(Debug, Default)]
pub struct SessionMarks {
    settings: SessionSettings,
    low_water_mark: Option<LogPosition>,
    /// Highest mark dropped before the low-water mark was known; the low-water mark starts at or
    /// above it.
    dropped: Option<LogPosition>,
    marks: BTreeMap<SessionKey, LogPosition>,
    by_position: BTreeSet<(LogPosition, SessionKey)>,
}

impl SessionMarks {
    /// Creates the marks of a new home, without a low-water mark.
    pub fn new(settings: SessionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the position that a read of the session must include.
    ///
    /// `None` while the home has no low-water mark: the read must go to the primary.
    pub fn required_position(
        &self,
        session: &SessionKey,
        token: Option<&LogPosition>,
    ) -> Option<LogPosition> {
        let low_water_mark = self.low_water_mark.as_ref()?;
        let mark = self.marks.get(session);
        [Some(low_water_mark), mark, token]
            .into_iter()
            .flatten()
            .max()
            .cloned()
    }

    /// Records that the session has seen a position, by a write or by a read.
    pub fn record_seen(&mut self, session: &SessionKey, seen: &LogPosition) {
        if self
            .low_water_mark
            .as_ref()
            .is_some_and(|low_water_mark| seen <= low_water_mark)
        {
            return;
        }
        if let Some(mark) = self.marks.get_mut(session) {
            if seen <= mark {
                return;
            }
            let former = std::mem::replace(mark, seen.clone());
            self.by_position.remove(&(former, session.clone()));
        } else {
            self.marks.insert(session.clone(), seen.clone());
        }
        self.by_position.insert((seen.clone(), session.clone()));
        self.evict();
    }

    /// Raises the low-water mark, and drops every mark at or below it.
    ///
    /// Must be called with the low-water mark of the home's view first. Afterwards it may also be
    /// called with a position that all replicas in rotation have reached: this drops marks without
    /// restricting where reads may run.
    pub fn raise_low_water_mark(&mut self, low_water_mark: &LogPosition) {
        let dropped = self.dropped.take();
        let low_water_mark = dropped
            .as_ref()
            .map_or(low_water_mark, |dropped| low_water_mark.max(dropped));
        if self
            .low_water_mark
            .as_ref()
            .is_some_and(|known| low_water_mark <= known)
        {
            return;
        }
        self.low_water_mark = Some(low_water_mark.clone());
        while let Some((position, _)) = self.by_position.first() {
            if position > low_water_mark {
                break;
            }
            if let Some((_, session)) = self.by_position.pop_first() {
                self.marks.remove(&session);
            }
        }
    }

    /// Returns the low-water mark, a position that the reads of every session must include.
    pub const fn low_water_mark(&self) -> Option<&LogPosition> {
        self.low_water_mark.as_ref()
    }

    /// Returns the number of marks.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether there are no marks.
    pub fn is_empty(&self) -> bool {
        self.marks.is_empty()
    }

    fn evict(&mut self) {
        if self.marks.len() <= self.settings.max_marks {
            return;
        }
        let Some((lowest, _)) = self.by_position.first().cloned() else {
            return;
        };
        if self.low_water_mark.is_some() {
            self.raise_low_water_mark(&lowest);
            return;
        }
        if let Some((position, session)) = self.by_position.pop_first() {
            self.marks.remove(&session);
            self.dropped = self.dropped.take().max(Some(position));
        }
    }
}

#[cfg(test)]
mod tests;
