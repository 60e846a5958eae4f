//! Messages from the caller to the home.

use pgwire::messages::response::TransactionStatus;

use super::super::exchange_state::{ConnectionState, Phase};
use super::super::reader::{Message, ReadError};
use super::super::registry::is_active;
use super::super::response::{CallerError, Severity, put_error, put_ready, put_reply};
use super::super::setting::SessionChange;
use super::super::shared::HOME_RETRY_AFTER;
use super::super::unit::{TranslationContext, Unit, UnitEnd};
use super::{CallerSession, Identity, MAX_UNIT_BYTES, Step};
use crate::control::snapshot::Standing;
use crate::traffic::{Refusal, RefusalReason};

impl CallerSession {
    /// Processes the messages that have arrived, up to the end of a unit.
    pub(super) fn step(&mut self) -> Result<Step, ReadError> {
        while self.exchange.phase.accepts_messages()
            && self.connection_state == ConnectionState::Connected
        {
            let Some(message) = self.reader.next()? else {
                break;
            };
            if message.tag == b'X' {
                self.connection_state = ConnectionState::Disconnecting;
                continue;
            }
            match self.exchange.phase {
                Phase::CopyIn { .. } => self.copy_message(&message)?,
                Phase::Skipping => self.skip(&message),
                _ => {
                    if self.add(&message)? {
                        return Ok(Step::Forward);
                    }
                }
            }
        }
        self.exchange.seal_copy();
        Ok(if self.exchange.frames.is_empty() {
            Step::Wait
        } else {
            Step::Forward
        })
    }

    fn skip(&mut self, message: &Message) {
        if message.tag == b'S' {
            self.exchange.phase = Phase::Ready;
            put_ready(&mut self.out, self.exchange.status);
        }
    }

    fn copy_message(&mut self, message: &Message) -> Result<(), ReadError> {
        match message.tag {
            b'd' => self.exchange.add_copy(message),
            b'c' | b'f' => {
                self.exchange.add_copy(message);
                // Later messages must not be sent before the copy data.
                self.exchange.seal_copy();
                self.exchange.phase = self.exchange.phase.end_copy();
            }
            // PostgreSQL ignores `Flush` and `Sync` during `COPY FROM STDIN`.
            b'H' | b'S' => {}
            _ => {
                return Err(ReadError::Malformed {
                    message: "CopyData",
                });
            }
        }
        Ok(())
    }

    /// Adds a message to the unit; returns whether there are frames for the home.
    fn add(&mut self, message: &Message) -> Result<bool, ReadError> {
        let mut translation = TranslationContext {
            plans: &self.shared.plans,
            statements: &mut self.statements,
            defined: &self.exchange.defined,
            max_parameters: self.shared.settings.max_parameters,
        };
        self.unit.add(message, &mut translation)?;
        let ended = self.unit.end != UnitEnd::Open || self.unit.bytes >= MAX_UNIT_BYTES;
        Ok(ended && self.dispatch_unit())
    }

    /// Refuses a unit, handles it locally, or forwards it; returns whether it was forwarded.
    fn dispatch_unit(&mut self) -> bool {
        let has_end = matches!(self.unit.end, UnitEnd::Simple | UnitEnd::Synced);
        let awaiting_sync = self.exchange.phase == Phase::AwaitingSync;
        if self.unit.has_only_flush() && !awaiting_sync {
            self.unit = Unit::default();
            return false;
        }
        let failure = self.unit.failure.take();
        if let Some(error) = failure.or_else(|| self.refusal()) {
            self.fail_unit(&error, has_end);
            return false;
        }
        let in_transaction = self.exchange.status != TransactionStatus::Idle;
        let is_session_only = |change: &SessionChange| change.local_statement().is_none();
        let is_local = has_end
            && !self.unit.runs
            && !awaiting_sync
            && (!in_transaction || self.unit.changes.iter().all(is_session_only));
        if is_local {
            self.respond_locally();
            return false;
        }
        let changes = &self.unit.changes;
        let can_change = has_end && in_transaction && !changes.iter().any(is_session_only);
        if !changes.is_empty() && !can_change {
            let refusal = Refusal::without_retry(RefusalReason::SessionStateUnsupported);
            self.fail_unit(&refusal.into(), has_end);
            return false;
        }
        self.forward();
        true
    }

    /// Returns the error if the VM's state or the configuration does not allow the unit to run.
    fn refusal(&mut self) -> Option<CallerError> {
        let snapshot = self.shared.snapshot.load();
        let configuration = &snapshot.configuration;
        let retry_after = HOME_RETRY_AFTER;
        let Identity {
            workspace,
            key,
            database,
            ..
        } = &self.identity;
        let reason = match snapshot.standing {
            Standing::Isolated => Some(RefusalReason::Isolated),
            Standing::Starting => {
                return Some(Refusal::with_retry(RefusalReason::HomeUnknown, retry_after).into());
            }
            Standing::Serving | Standing::Draining => None,
        };
        if let Some(reason) = reason {
            return Some(Refusal::without_retry(reason).into());
        }
        if !is_active(configuration, workspace, key) {
            self.connection_state = ConnectionState::Disconnecting;
            return Some(Refusal::without_retry(RefusalReason::KeyWithdrawn).into());
        }
        if !configuration.databases.contains_key(database) {
            return Some(Refusal::without_retry(RefusalReason::DatabaseUnknown).into());
        }
        let route = self.unit_tags().route;
        let allowed = configuration.workspaces[workspace]
            .databases
            .contains(database)
            || configuration.route_policy(route.as_ref()).open_to_all;
        (!allowed).then(|| Refusal::without_retry(RefusalReason::DatabaseNotAllowed).into())
    }

    fn fail_unit(&mut self, error: &CallerError, has_end: bool) {
        self.unit = Unit::default();
        if self.exchange.phase == Phase::AwaitingSync {
            // The following `Sync` would commit the messages that were already forwarded.
            self.close_with(error);
            return;
        }
        put_error(&mut self.out, Severity::Error, error);
        if has_end {
            put_ready(&mut self.out, self.exchange.status);
        } else {
            self.exchange.phase = Phase::Skipping;
        }
    }

    fn respond_locally(&mut self) {
        let unit = std::mem::take(&mut self.unit);
        let status = self.exchange.status;
        if status == TransactionStatus::Error && !unit.changes.is_empty() {
            let message = "current transaction is aborted; end it with ROLLBACK";
            let error = CallerError::new("25P02", message);
            put_error(&mut self.out, Severity::Error, &error);
        } else {
            for reply in &unit.replies {
                put_reply(&mut self.out, reply);
            }
            self.apply(&unit.changes);
        }
        put_ready(&mut self.out, status);
    }

    fn forward(&mut self) {
        self.unit.seal();
        let exchange = &mut self.exchange;
        exchange.frames.append(&mut self.unit.frames);
        exchange.defined.extend(self.unit.defined.drain(..));
        exchange.parses.append(&mut self.unit.parses);
        exchange.changes.append(&mut self.unit.changes);
        exchange.phase = match self.unit.end {
            UnitEnd::Simple => Phase::Running { simple: true },
            UnitEnd::Synced => Phase::Running { simple: false },
            UnitEnd::Open | UnitEnd::Flushed => Phase::AwaitingSync,
        };
        self.registration.signal.start_statement();
    }
}
