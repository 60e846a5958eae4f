//! Session marks: what each session of a database must see in its next read.

use std::collections::{BTreeMap, BTreeSet};

use crate::name::{SessionName, WorkspaceName};
use crate::position::LogPosition;

/// Session of a workspace; callers that name none share the workspace's own.
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
    /// Marks kept for one database.
    pub max_marks: usize,
}

impl Default for SessionSettings {
    fn default() -> Self {
        Self { max_marks: 10_000 }
    }
}

/// What the sessions of one database have seen.
///
/// A mark is dropped only when the floor has reached it, so that memory stays bounded and no
/// session is served anything older than what it has seen.
#[derive(Debug, Default)]
pub struct SessionMarks {
    settings: SessionSettings,
    floor: Option<LogPosition>,
    /// Highest mark dropped while there was no floor; the floor starts at or above it.
    dropped: Option<LogPosition>,
    marks: BTreeMap<SessionKey, LogPosition>,
    by_position: BTreeSet<(LogPosition, SessionKey)>,
}

impl SessionMarks {
    /// Builds marks of a home that knows nothing yet.
    pub fn new(settings: SessionSettings) -> Self {
        Self {
            settings,
            ..Self::default()
        }
    }

    /// Returns the position that a read of the session must see.
    ///
    /// `None` while the home has no floor yet: the read must go to the primary.
    pub fn need(&self, session: &SessionKey, token: Option<&LogPosition>) -> Option<LogPosition> {
        let floor = self.floor.as_ref()?;
        let mark = self.marks.get(session);
        [Some(floor), mark, token]
            .into_iter()
            .flatten()
            .max()
            .cloned()
    }

    /// Records that the session has seen a position, by a write or by a read.
    pub fn saw(&mut self, session: &SessionKey, seen: &LogPosition) {
        if self.floor.as_ref().is_some_and(|floor| seen <= floor) {
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

    /// Raises the floor, and drops every mark that it has reached.
    ///
    /// The floor of the home's view must come in here; so may, at no cost to anyone, a position
    /// that all replicas in rotation have reached.
    pub fn raise_floor(&mut self, floor: &LogPosition) {
        let dropped = self.dropped.take();
        let floor = dropped.as_ref().map_or(floor, |dropped| floor.max(dropped));
        if self.floor.as_ref().is_some_and(|known| floor <= known) {
            return;
        }
        self.floor = Some(floor.clone());
        while let Some((position, _)) = self.by_position.first() {
            if position > floor {
                break;
            }
            if let Some((_, session)) = self.by_position.pop_first() {
                self.marks.remove(&session);
            }
        }
    }

    /// Returns the position that every session must see.
    pub const fn floor(&self) -> Option<&LogPosition> {
        self.floor.as_ref()
    }

    /// Returns how many marks are kept.
    pub fn len(&self) -> usize {
        self.marks.len()
    }

    /// Returns whether no mark is kept.
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
        if self.floor.is_some() {
            self.raise_floor(&lowest);
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
