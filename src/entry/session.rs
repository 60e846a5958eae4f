//! Session of one caller.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use super::catalog::{Catalog, Route};
use super::clock;
use super::forwarding::{self, Executor};
use super::link::{SessionValues, shared_name};
use super::node::Node;
use super::position::Position;
use super::shutdown;
use super::statement::{
    Access, Failure, FailureKind, InstanceCommand, Outcome, Prepared, Request, SessionState,
    Statement, StatementResponse,
};
use super::task::{Action, Reply, Runnable, Task};
use crate::name::WorkspaceName;
use crate::telemetry::metrics::metrics;

/// Maximum number of prepared statements in one session; further ones are refused.
const MAX_PREPARED: usize = 256;

/// Maximum number of values set in one session; further ones are refused.
const MAX_VALUES: usize = 64;

/// Maximum size of the values and prepared statements of one session. A message may have 1 MiB, so
/// that their number alone would bound a session at hundreds of MiB.
const MAX_HELD_BYTES: usize = 256 << 10;

/// Request identifier of tasks that don't come from a request of the caller.
const NO_REQUEST_ID: &str = "-";

/// Workspace name of callers whose key belongs to no workspace. They may only use routes that allow
/// anonymous callers.
const ANONYMOUS: &str = "-";

/// State of a session's transaction.
#[derive(Debug, Default)]
enum Transaction {
    #[default]
    None,
    /// Acknowledged to the caller, but not yet started on an instance.
    Deferred {
        /// Whether the transaction only reads.
        access: Access,
        /// Route that the transaction runs on until its end.
        route: Arc<Route>,
    },
    /// Open on an instance.
    Open {
        /// Route that the transaction runs on until its end.
        route: Arc<Route>,
        /// VM that runs the transaction.
        executor: Box<Executor>,
    },
    /// Failed, and not yet ended by the caller.
    Failed,
}

impl Transaction {
    /// Returns the session state to report to the caller.
    const fn state(&self) -> SessionState {
        match self {
            Self::None => SessionState::Idle,
            Self::Deferred { .. } | Self::Open { .. } => SessionState::Open,
            Self::Failed => SessionState::Failed,
        }
    }

    /// Returns the route of a running transaction.
    const fn route(&self) -> Option<&Arc<Route>> {
        match self {
            Self::Deferred { route, .. } | Self::Open { route, .. } => Some(route),
            Self::None | Self::Failed => None,
        }
    }
}

/// Session of one caller.
#[derive(Debug)]
pub struct Session {
    node: Rc<Node>,
    route: Arc<str>,
    key: Arc<str>,
    workspace: WorkspaceName,
    values: Arc<SessionValues>,
    prepared: HashMap<Arc<str>, Prepared>,
    mark: Option<Position>,
    transaction: Transaction,
    ended: bool,
}

impl Session {
    /// Opens a session.
    ///
    /// # Errors
    ///
    /// Fails when there is no such route, when the key belongs to no workspace, or when this VM can't
    /// tell because it has no configuration yet.
    pub fn open(node: Rc<Node>, route: Arc<str>, key: Arc<str>) -> Result<Self, Failure> {
        let catalog = node.catalog().ok_or_else(|| no_configuration(&node))?;
        let known = catalog.routes.get(&route).ok_or_else(no_such_route)?;
        let workspace = workspace(&catalog, known, &key).ok_or_else(Failure::unauthorized)?;
        Ok(Self {
            node,
            route,
            key,
            workspace,
            values: Arc::default(),
            prepared: HashMap::new(),
            mark: None,
            transaction: Transaction::None,
            ended: false,
        })
    }

    /// Returns whether the session has ended and its connection must be closed.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the session state to report to the caller.
    pub const fn state(&self) -> SessionState {
        self.transaction.state()
    }

    /// Runs one request, counts its outcome and returns the response.
    pub async fn respond(&mut self, request: Request) -> StatementResponse {
        let catalog = self.node.catalog().unwrap_or_default();
        let route = catalog
            .routes
            .get(&self.route)
            .map(|route| route.name.clone());
        let response = self.handle(&catalog, request).await;
        let outcome = match &response.outcome {
            Outcome::Done(_) => "done",
            Outcome::Failed(failure) => failure.kind.into(),
        };
        if let Some(route) = route {
            metrics().count_statement(&route, outcome);
        }
        response
    }

    async fn handle(&mut self, catalog: &Catalog, request: Request) -> StatementResponse {
        if let Err(failure) = self.authorize(catalog) {
            self.roll_back_open_transaction().await;
            self.ended = true;
            return self.fail(failure);
        }
        match request.statement.clone() {
            Statement::Set { name, value } => self.set(name, value),
            Statement::Prepare { name, prepared } => self.prepare(name, prepared),
            Statement::Deallocate { name } => {
                self.prepared.remove(&name);
                self.done()
            }
            Statement::Begin { access } => self.begin(catalog, &request, access).await,
            Statement::Commit => self.commit(request).await,
            Statement::Rollback => self.roll_back().await,
            Statement::Query { access } => {
                let runnable = Runnable {
                    command: InstanceCommand::Run {
                        id: Arc::clone(&request.id),
                        text: request.text,
                    },
                    access,
                    prepared: None,
                };
                self.execute(catalog, &request.id, runnable).await
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(&name).cloned() else {
                    return self.fail_and_roll_back(no_such_statement()).await;
                };
                let runnable = Runnable {
                    command: InstanceCommand::Execute {
                        id: Arc::clone(&request.id),
                        name: shared_name(&prepared),
                        arguments,
                    },
                    access: prepared.access,
                    prepared: Some(prepared),
                };
                self.execute(catalog, &request.id, runnable).await
            }
            Statement::Invalid => self.fail(invalid_statement()),
        }
    }

    /// Rolls back a transaction that exceeded the idle limit. The caller is informed in the
    /// response to its next request.
    pub async fn end_idle_transaction(&mut self) {
        self.roll_back_open_transaction().await;
        self.transaction = Transaction::Failed;
        log::info!(
            "event=transaction_idle workspace={} route={}",
            self.workspace,
            self.route
        );
    }

    /// Ends the session because this VM stops. Returns the response to the request that has just
    /// arrived, which isn't run.
    pub async fn end_for_stop(&mut self) -> StatementResponse {
        let failure = match self.state() {
            SessionState::Idle => shutdown::refusal(),
            SessionState::Open | SessionState::Failed => shutdown::transaction_ended(),
        };
        self.roll_back_open_transaction().await;
        self.ended = true;
        self.fail(failure)
    }

    /// Rolls back the transaction that is open on an instance, if any.
    pub async fn roll_back_open_transaction(&mut self) {
        if let Transaction::Open {
            route,
            mut executor,
        } = std::mem::take(&mut self.transaction)
        {
            let task = self.task(NO_REQUEST_ID.into(), route, Action::Rollback);
            executor.run(&task).await;
        }
    }

    fn authorize(&self, catalog: &Catalog) -> Result<(), Failure> {
        let in_transaction = self.transaction.route();
        let Some(route) = in_transaction.or_else(|| catalog.routes.get(&self.route)) else {
            return Err(no_such_route());
        };
        match workspace(catalog, route, &self.key) {
            Some(workspace) if workspace == self.workspace => Ok(()),
            _ => Err(Failure::unauthorized()),
        }
    }

    fn set(&mut self, name: Arc<str>, value: Arc<str>) -> StatementResponse {
        if self.values.values.len() >= MAX_VALUES || !self.may_hold(name.len() + value.len()) {
            return self.fail(invalid_statement());
        }
        Arc::make_mut(&mut self.values).set(name, value);
        self.done()
    }

    fn prepare(&mut self, name: Arc<str>, prepared: Prepared) -> StatementResponse {
        let bytes = name.len() + prepared.shape.len();
        if self.prepared.len() >= MAX_PREPARED || !self.may_hold(bytes) {
            return self.fail(invalid_statement());
        }
        self.prepared.insert(name, prepared);
        self.done()
    }

    /// Returns whether the session may hold more bytes of values and prepared statements.
    fn may_hold(&self, more_bytes: usize) -> bool {
        let values = self.values.values.iter();
        let values = values.map(|(name, value)| name.len() + value.len());
        let prepared = self.prepared.iter();
        let prepared = prepared.map(|(name, prepared)| name.len() + prepared.shape.len());
        values.chain(prepared).sum::<usize>() + more_bytes <= MAX_HELD_BYTES
    }

    async fn begin(
        &mut self,
        catalog: &Catalog,
        request: &Request,
        access: Access,
    ) -> StatementResponse {
        if self.state() != SessionState::Idle {
            return self.fail(invalid_statement());
        }
        let Some(route) = catalog.routes.get(&self.route).map(Arc::clone) else {
            return self.fail(no_such_route());
        };
        let id = Arc::clone(&request.id);
        let task = self.task(id, Arc::clone(&route), Action::Admit);
        let (reply, _) = forwarding::start(&self.node, task).await;
        match reply.response.outcome {
            Outcome::Done(_) => {
                self.transaction = Transaction::Deferred { access, route };
                self.done()
            }
            Outcome::Failed(failure) => self.fail(failure),
        }
    }

    async fn commit(&mut self, request: Request) -> StatementResponse {
        let text = request.text;
        let reply = match std::mem::take(&mut self.transaction) {
            Transaction::Open {
                route,
                mut executor,
            } => {
                let begin = None;
                let task = self.task(request.id, route, Action::Commit { begin, text });
                executor.run(&task).await
            }
            Transaction::Deferred { access, route } => {
                let begin = Some(access);
                let task = self.task(request.id, route, Action::Commit { begin, text });
                forwarding::start(&self.node, task).await.0
            }
            Transaction::Failed => return self.fail(transaction_failed()),
            Transaction::None => return self.fail(invalid_statement()),
        };
        self.mark = self.mark.max(reply.mark);
        reply.response
    }

    async fn roll_back(&mut self) -> StatementResponse {
        match &self.transaction {
            Transaction::None => return self.fail(invalid_statement()),
            Transaction::Open { .. } => self.roll_back_open_transaction().await,
            Transaction::Deferred { .. } | Transaction::Failed => {
                self.transaction = Transaction::None;
            }
        }
        self.done()
    }

    async fn execute(
        &mut self,
        catalog: &Catalog,
        id: &Arc<str>,
        runnable: Runnable,
    ) -> StatementResponse {
        let id = Arc::clone(id);
        match std::mem::take(&mut self.transaction) {
            Transaction::None => {
                let Some(route) = catalog.routes.get(&self.route) else {
                    return self.fail(no_such_route());
                };
                let task = self.task(id, Arc::clone(route), Action::Autocommit(runnable));
                let (reply, _) = forwarding::start(&self.node, task).await;
                self.mark = self.mark.max(reply.mark);
                reply.response
            }
            Transaction::Failed => {
                self.transaction = Transaction::Failed;
                self.fail(invalid_statement())
            }
            Transaction::Deferred { access, route } => {
                let first = runnable;
                let task = self.task(id, Arc::clone(&route), Action::Begin { access, first });
                let (reply, executor) = forwarding::start(&self.node, task).await;
                self.update_transaction(route, reply, executor.map(Box::new))
            }
            Transaction::Open {
                route,
                mut executor,
            } => {
                let task = self.task(id, Arc::clone(&route), Action::InTransaction(runnable));
                let reply = executor.run(&task).await;
                self.update_transaction(route, reply, Some(executor))
            }
        }
    }

    /// Stores the transaction's state after one of its statements: still open, or failed.
    fn update_transaction(
        &mut self,
        route: Arc<Route>,
        reply: Reply,
        executor: Option<Box<Executor>>,
    ) -> StatementResponse {
        let open = reply.response.state == SessionState::Open;
        self.transaction = match executor.filter(|_| open) {
            Some(executor) => Transaction::Open { route, executor },
            None => Transaction::Failed,
        };
        reply.response
    }

    fn task(&self, id: Arc<str>, route: Arc<Route>, action: Action) -> Task {
        Task {
            id,
            route,
            workspace: self.workspace.clone(),
            mark: self.mark,
            values: Arc::clone(&self.values),
            action,
            attempts: 0,
        }
    }

    async fn fail_and_roll_back(&mut self, failure: Failure) -> StatementResponse {
        if self.state() == SessionState::Open {
            self.roll_back_open_transaction().await;
            self.transaction = Transaction::Failed;
        }
        self.fail(failure)
    }

    const fn done(&self) -> StatementResponse {
        StatementResponse::local(Outcome::Done(None), self.transaction.state())
    }

    fn fail(&self, failure: Failure) -> StatementResponse {
        StatementResponse::local(Outcome::Failed(failure), self.transaction.state())
    }
}

fn workspace(catalog: &Catalog, route: &Route, key: &str) -> Option<WorkspaceName> {
    let known = catalog.workspace_of(key);
    let name = known.map(|workspace| workspace.name.clone());
    name.or_else(|| {
        route
            .allows_anonymous
            .then(|| WorkspaceName::from(ANONYMOUS))
    })
}

fn no_configuration(node: &Node) -> Failure {
    let delay = node.retry_delays.borrow_mut().starting(clock::now());
    let retry_ms = delay.as_millis();
    Failure::local(
        FailureKind::Busy,
        format!("not run: this VM is starting; retry in {retry_ms} ms"),
    )
}

fn no_such_route() -> Failure {
    Failure::local(
        FailureKind::NoSuchRoute,
        "not run: no such route; check its name",
    )
}

fn no_such_statement() -> Failure {
    Failure::local(
        FailureKind::NoSuchStatement,
        "not run: no such prepared statement",
    )
}

fn transaction_failed() -> Failure {
    Failure::local(FailureKind::Aborted, "not kept: the transaction had failed")
}

fn invalid_statement() -> Failure {
    Failure::local(
        FailureKind::Invalid,
        "not run: not a statement of this state",
    )
}
