//! A unit is the messages up to the next point at which the server must respond: one `Query` or
//! `FunctionCall`, or the extended-query messages up to a `Sync`.

use std::collections::{HashSet, VecDeque};
use std::sync::Arc;

use bytes::{Buf, BufMut, BytesMut};

use super::classify::{Plan, Rejection};
use super::plan_cache::PlanCache;
use super::prepared::{NO_STATEMENT, Prepared, PreparedStatements, named_message, put_named};
use super::reader::{Message, ReadError, split_text};
use super::response::{CallerError, LocalReply};
use super::setting::SessionChange;
use super::tag::{self, Tags};
use crate::traffic::{Access, CallerFrame, Refusal, RefusalReason};

/// Limit on the prepared statements of one session.
const MAX_PREPARED: usize = 4_096;
/// Bytes of messages after which a frame is complete.
pub(crate) const FRAME_BYTES: usize = 32 * 1024;
/// OIDs of the functions that `FunctionCall` may call: those of large objects.
const CALLABLE_FUNCTIONS: &[u32] = &[
    715, 764, 952, 953, 954, 955, 956, 957, 958, 964, 1004, 3170, 3171, 3172,
];

/// How a unit ends, as far as its messages have arrived.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(crate) enum UnitEnd {
    /// Its last message has not arrived.
    #[default]
    Open,
    /// Its last message has not arrived, but the caller sent `Flush`.
    Flushed,
    /// It is a `Query` or a `FunctionCall`.
    Simple,
    /// It ends with `Sync`.
    Synced,
}

/// Session state that is used to translate the messages of a unit.
#[derive(Debug)]
pub(crate) struct TranslationContext<'a> {
    /// Cache of statement classifications.
    pub(crate) plans: &'a PlanCache,
    /// Prepared statements of the session.
    pub(crate) statements: &'a mut PreparedStatements,
    /// Shared names of statements that are already defined in this exchange.
    pub(crate) defined: &'a HashSet<Arc<str>>,
    /// Limit on the parameters of one `Bind` message.
    pub(crate) max_parameters: u16,
}

/// Messages that are executed as a unit.
#[derive(Debug, Default)]
pub(crate) struct Unit {
    /// Frames to forward.
    pub(crate) frames: VecDeque<CallerFrame>,
    /// Responses to send if the session handles the unit without the home.
    pub(crate) replies: Vec<LocalReply>,
    /// Changes to the session, in order.
    pub(crate) changes: Vec<SessionChange>,
    /// Whether the unit must be forwarded.
    pub(crate) runs: bool,
    /// Error of the unit, which prevents it from being forwarded.
    pub(crate) failure: Option<CallerError>,
    /// How the unit ends, as far as its messages have arrived.
    pub(crate) end: UnitEnd,
    /// Tags of the unit's statements, merged.
    pub(crate) tags: Tags,
    /// Names of the statements that the unit prepares, in order.
    pub(crate) parses: VecDeque<Box<str>>,
    /// Shared names of statements that the unit defines.
    pub(crate) defined: Vec<Arc<str>>,
    /// Size of the unit's messages, in bytes.
    pub(crate) bytes: usize,
    access: Option<Access>,
    messages: BytesMut,
    /// Portals whose statement the session executes itself.
    local_portals: Vec<(Box<str>, Arc<Prepared>)>,
}

impl Unit {
    /// Returns the access that the unit needs. An incomplete unit may still write.
    pub(crate) fn access(&self) -> Access {
        match self.end {
            UnitEnd::Simple | UnitEnd::Synced => self.access.unwrap_or(Access::Read),
            UnitEnd::Open | UnitEnd::Flushed => Access::Write,
        }
    }

    /// Returns whether no message was added.
    pub(crate) const fn is_empty(&self) -> bool {
        self.bytes == 0
    }

    /// Returns whether the unit consists of `Flush` without anything to respond to.
    pub(crate) fn has_only_flush(&self) -> bool {
        self.end == UnitEnd::Flushed && self.replies.is_empty() && !self.runs
    }

    /// Moves the buffered messages into a frame.
    pub(crate) fn seal(&mut self) {
        if !self.messages.is_empty() {
            let messages = std::mem::take(&mut self.messages).freeze();
            self.frames.push_back(CallerFrame::Messages(messages));
        }
    }

    /// Adds a message.
    ///
    /// # Errors
    ///
    /// Fails when the message is malformed.
    pub(crate) fn add(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        self.bytes += message.bytes.len();
        // After an error, PostgreSQL discards messages up to the next `Sync`.
        if self.failure.is_some() && message.tag != b'S' {
            return Ok(());
        }
        match message.tag {
            b'Q' => self.query(message, translation)?,
            b'P' => self.parse(message, translation)?,
            b'B' => self.bind(message, translation)?,
            b'D' => self.describe(message, translation)?,
            b'E' => self.execute(message)?,
            b'C' => self.close(message, translation)?,
            b'F' => self.function_call(message)?,
            b'H' => {
                self.push_message(message);
                self.end = UnitEnd::Flushed;
            }
            b'S' => {
                self.push_message(message);
                self.end = UnitEnd::Synced;
            }
            // Copy data outside a copy is discarded, as PostgreSQL does after a failed copy.
            _ => {}
        }
        Ok(())
    }

    fn push_message(&mut self, message: &Message) {
        self.messages.put_slice(&message.bytes);
        if self.messages.len() >= FRAME_BYTES {
            self.seal();
        }
    }

    fn fail(&mut self, error: CallerError) {
        self.failure.get_or_insert(error);
    }

    fn reject(&mut self, rejection: Rejection) {
        self.fail(rejection_error(rejection));
    }

    fn run(&mut self, access: Access) {
        self.runs = true;
        self.access = match (self.access, access) {
            (None | Some(Access::Read), Access::Read) => Some(Access::Read),
            _ => Some(Access::Write),
        };
    }

    fn add_tags(&mut self, tags: &Tags) {
        let before = std::mem::take(&mut self.tags);
        self.tags = before.or(tags);
    }

    fn query(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        let (text, _rest) = split_text(message.body(), "Query")?;
        self.end = UnitEnd::Simple;
        translation.statements.remove("");
        let tagged = tag::split(text);
        let plan = translation.plans.plan(tagged.statement);
        self.add_tags(&tagged.tags);
        match &*plan {
            Plan::Reject(rejection) => self.reject(*rejection),
            Plan::Run(access) => {
                self.run(*access);
                self.push_message(message);
            }
            Plan::Empty => {
                self.replies.push(LocalReply::Empty);
                self.push_message(message);
            }
            Plan::Change(changes) => {
                for change in changes {
                    self.add_change(change);
                }
                let local = changes.iter().filter_map(SessionChange::local_statement);
                let local: Vec<_> = local.collect();
                put_named(&mut self.messages, b'Q', &[&local.join("; ")], &[]);
            }
        }
        Ok(())
    }

    fn add_change(&mut self, change: &SessionChange) {
        self.replies.push(LocalReply::Command(change.command_tag()));
        self.changes.push(change.clone());
    }

    fn parse(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        let (name, rest) = split_text(message.body(), "Parse")?;
        let (text, types) = split_text(rest, "Parse")?;
        check_parameter_types(types)?;
        if !name.is_empty() && translation.statements.contains(name) {
            let message = format!("prepared statement \"{name}\" already exists");
            self.fail(CallerError::new("42P05", message));
            return Ok(());
        }
        if translation.statements.len() >= MAX_PREPARED {
            let message = format!("over {MAX_PREPARED} prepared statements; close some");
            self.fail(CallerError::new("53400", message));
            return Ok(());
        }
        let tagged = tag::split(text);
        let plan = translation.plans.plan(tagged.statement);
        // Per-request tags would give every statement a different shared name.
        let shared_text = if tagged.tags.is_per_request() {
            tagged.statement
        } else {
            text
        };
        let prepared = match &*plan {
            Plan::Reject(rejection) => {
                self.reject(*rejection);
                return Ok(());
            }
            Plan::Change(changes) => {
                let [change] = &**changes else {
                    let message = "cannot insert multiple commands into a prepared statement";
                    self.fail(CallerError::new("42601", message));
                    return Ok(());
                };
                let text = change.local_statement().unwrap_or_default();
                Prepared::new(&text, types, Arc::clone(&plan), tagged.tags)
            }
            Plan::Empty => Prepared::new(shared_text, types, Arc::clone(&plan), tagged.tags),
            Plan::Run(access) => {
                self.run(*access);
                Prepared::new(shared_text, types, Arc::clone(&plan), tagged.tags)
            }
        };
        self.add_tags(&prepared.tags);
        self.messages.put_slice(&prepared.parse);
        self.defined.push(Arc::clone(&prepared.name));
        self.parses.push_back(name.into());
        translation.statements.insert(name, Arc::new(prepared));
        self.replies.push(LocalReply::ParseComplete);
        Ok(())
    }

    /// Returns the prepared statement with this name, and adds its definition to the frames if the
    /// exchange does not have it yet.
    fn resolve_statement(
        &mut self,
        name: &str,
        translation: &TranslationContext<'_>,
    ) -> Option<Arc<Prepared>> {
        let Some(prepared) = translation.statements.get(name).cloned() else {
            let message = format!("prepared statement \"{name}\" does not exist");
            self.fail(CallerError::new("26000", message));
            return None;
        };
        if !translation.defined.contains(&prepared.name) && !self.defined.contains(&prepared.name) {
            self.seal();
            self.defined.push(Arc::clone(&prepared.name));
            self.frames.push_back(CallerFrame::Definition {
                name: prepared.name.to_string(),
                parse: prepared.parse.clone(),
            });
        }
        if let Plan::Run(access) = &*prepared.plan {
            self.run(*access);
        }
        Some(prepared)
    }

    fn bind(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        let (portal, rest) = split_text(message.body(), "Bind")?;
        let (name, rest) = split_text(rest, "Bind")?;
        let parameters = parameter_count(rest)?;
        if parameters > translation.max_parameters {
            let limit = translation.max_parameters;
            let message = format!("{parameters} parameters are over the limit of {limit}");
            self.fail(CallerError::new("54023", message));
            return Ok(());
        }
        let Some(prepared) = self.resolve_statement(name, translation) else {
            return Ok(());
        };
        put_named(&mut self.messages, b'B', &[portal, &prepared.name], rest);
        if self.messages.len() >= FRAME_BYTES {
            self.seal();
        }
        self.local_portals.retain(|(name, _)| **name != *portal);
        if !matches!(&*prepared.plan, Plan::Run(_)) {
            self.local_portals.push((portal.into(), prepared));
        }
        self.replies.push(LocalReply::BindComplete);
        Ok(())
    }

    fn describe(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        let (kind, name) = target(message, "Describe")?;
        if kind == b'P' {
            self.push_message(message);
            self.runs |= self.local_portal(name).is_none();
            self.replies.push(LocalReply::NoData);
            return Ok(());
        }
        let Some(prepared) = self.resolve_statement(name, translation) else {
            return Ok(());
        };
        let mut rest = vec![b'S'];
        rest.extend_from_slice(prepared.name.as_bytes());
        rest.push(0);
        put_named(&mut self.messages, b'D', &[], &rest);
        self.replies
            .extend([LocalReply::NoParameters, LocalReply::NoData]);
        Ok(())
    }

    fn execute(&mut self, message: &Message) -> Result<(), ReadError> {
        let (portal, _rest) = split_text(message.body(), "Execute")?;
        self.push_message(message);
        match self.local_portal(portal) {
            None => self.runs = true,
            Some(prepared) => match &*prepared.plan {
                Plan::Change(changes) => changes.iter().for_each(|change| self.add_change(change)),
                _ => self.replies.push(LocalReply::Empty),
            },
        }
        Ok(())
    }

    fn local_portal(&self, name: &str) -> Option<Arc<Prepared>> {
        let found = self
            .local_portals
            .iter()
            .find(|(portal, _)| **portal == *name);
        found.map(|(_, prepared)| Arc::clone(prepared))
    }

    fn close(
        &mut self,
        message: &Message,
        translation: &mut TranslationContext<'_>,
    ) -> Result<(), ReadError> {
        let (kind, name) = target(message, "Close")?;
        if kind == b'P' {
            self.runs |= self.local_portal(name).is_none();
            self.push_message(message);
        } else {
            translation.statements.remove(name);
            // Other sessions still use the shared statement. A `Close` of an unused name keeps the
            // `CloseComplete` in order.
            let close = named_message(b'C', &[&format!("S{NO_STATEMENT}")], &[]);
            self.messages.put_slice(&close);
        }
        self.replies.push(LocalReply::CloseComplete);
        Ok(())
    }

    fn function_call(&mut self, message: &Message) -> Result<(), ReadError> {
        self.end = UnitEnd::Simple;
        let Some(mut oid) = message.body().get(..4) else {
            return Err(ReadError::Malformed {
                message: "FunctionCall",
            });
        };
        if CALLABLE_FUNCTIONS.contains(&oid.get_u32()) {
            self.run(Access::Write);
            self.push_message(message);
        } else {
            self.reject(Rejection::SessionState);
        }
        Ok(())
    }
}

fn rejection_error(rejection: Rejection) -> CallerError {
    match rejection {
        Rejection::SessionState => {
            Refusal::without_retry(RefusalReason::SessionStateUnsupported).into()
        }
        Rejection::ReservedFunction => CallerError::new(
            "42501",
            "not run: the function is reserved for the proxy; leave it out of the statement",
        ),
    }
}

fn target<'a>(message: &'a Message, kind: &'static str) -> Result<(u8, &'a str), ReadError> {
    let malformed = ReadError::Malformed { message: kind };
    let Some((&target, rest)) = message.body().split_first() else {
        return Err(malformed);
    };
    if !matches!(target, b'S' | b'P') {
        return Err(malformed);
    }
    let (name, _rest) = split_text(rest, kind)?;
    Ok((target, name))
}

fn check_parameter_types(mut types: &[u8]) -> Result<(), ReadError> {
    let malformed = ReadError::Malformed { message: "Parse" };
    if types.len() < 2 {
        return Err(malformed);
    }
    let count = usize::from(types.get_u16());
    if types.len() == count * 4 {
        Ok(())
    } else {
        Err(malformed)
    }
}

fn parameter_count(mut rest: &[u8]) -> Result<u16, ReadError> {
    let malformed = ReadError::Malformed { message: "Bind" };
    if rest.len() < 2 {
        return Err(malformed);
    }
    let format_bytes = usize::from(rest.get_u16()) * 2;
    if rest.len() < format_bytes + 2 {
        return Err(malformed);
    }
    rest.advance(format_bytes);
    Ok(rest.get_u16())
}
