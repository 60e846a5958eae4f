//! Session of one caller.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use super::catalog::{Catalog, Route};
use super::forwarding::{self, Place};
use super::link::{SessionValues, shared_name};
use super::node::Node;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, Prepared, Request,
    SessionState, Statement,
};
use super::task::{Action, Reply, Runnable, Task};
use crate::name::WorkspaceName;
use crate::telemetry::metrics::metrics;

/// Prepared statements of one session; more are refused.
const MAX_PREPARED: usize = 256;

/// Values of one session; more are refused.
const MAX_VALUES: usize = 64;

/// Identifier of steps that no request of the caller asked for.
const NO_REQUEST: &str = "-";

/// Name under which callers without a key of their own reach open routes.
const ANYONE: &str = "-";

/// Transaction of a session.
#[derive(Debug, Default)]
enum Transaction {
    /// None.
    #[default]
    None,
    /// Acknowledged to the caller; no instance knows of it yet.
    Begun {
        /// Whether it only reads.
        access: Access,
        /// Route that it runs on until its end.
        route: Arc<Route>,
    },
    /// Open on an instance.
    Open {
        /// Route that it runs on until its end.
        route: Arc<Route>,
        /// VM that runs it.
        place: Box<Place>,
    },
    /// Failed; the caller has yet to end it.
    Failed,
}

impl Transaction {
    /// Returns the state that the caller is told.
    const fn state(&self) -> SessionState {
        match self {
            Self::None => SessionState::Idle,
            Self::Begun { .. } | Self::Open { .. } => SessionState::Open,
            Self::Failed => SessionState::Failed,
        }
    }

    /// Returns the route of a running transaction.
    const fn route(&self) -> Option<&Arc<Route>> {
        match self {
            Self::Begun { route, .. } | Self::Open { route, .. } => Some(route),
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
    /// Fails when there is no such route or the key belongs to no workspace.
    pub fn open(node: Rc<Node>, route: Arc<str>, key: Arc<str>) -> Result<Self, Failure> {
        let catalog = node.catalog().unwrap_or_default();
        let known = catalog.routes.get(&route).ok_or_else(no_such_route)?;
        let workspace = workspace(&catalog, known, &key).ok_or_else(unauthorized)?;
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

    /// Returns whether the session is over.
    pub const fn has_ended(&self) -> bool {
        self.ended
    }

    /// Returns the state that the caller was told last.
    pub const fn state(&self) -> SessionState {
        self.transaction.state()
    }

    /// Answers one request.
    pub async fn answer(&mut self, request: Request) -> Answer {
        let catalog = self.node.catalog().unwrap_or_default();
        let route = catalog
            .routes
            .get(&self.route)
            .map(|route| route.name.clone());
        let answer = self.handle(&catalog, request).await;
        let outcome = match &answer.outcome {
            Outcome::Done(_) => "done",
            Outcome::Failed(failure) => failure.kind.into(),
        };
        if let Some(route) = route {
            metrics().count_statement(&route, outcome);
        }
        answer
    }

    async fn handle(&mut self, catalog: &Catalog, request: Request) -> Answer {
        if let Err(failure) = self.authorize(catalog) {
            self.abandon().await;
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
                    return self.fail_step(no_such_statement()).await;
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
            Statement::Invalid => self.fail(invalid()),
        }
    }

    /// Ends a transaction that was idle for too long; the caller learns of it with its next
    /// request.
    pub async fn end_idle_transaction(&mut self) {
        self.abandon().await;
        self.transaction = Transaction::Failed;
        log::info!(
            "event=transaction_idle workspace={} route={}",
            self.workspace,
            self.route
        );
    }

    /// Ends what the caller left behind.
    pub async fn abandon(&mut self) {
        if let Transaction::Open { route, mut place } = std::mem::take(&mut self.transaction) {
            let task = self.task(NO_REQUEST.into(), route, Action::Rollback);
            place.run(&task).await;
        }
    }

    fn authorize(&self, catalog: &Catalog) -> Result<(), Failure> {
        let in_transaction = self.transaction.route();
        let Some(route) = in_transaction.or_else(|| catalog.routes.get(&self.route)) else {
            return Err(no_such_route());
        };
        match workspace(catalog, route, &self.key) {
            Some(workspace) if workspace == self.workspace => Ok(()),
            _ => Err(unauthorized()),
        }
    }

    fn set(&mut self, name: Arc<str>, value: Arc<str>) -> Answer {
        if self.values.values.len() >= MAX_VALUES {
            return self.fail(invalid());
        }
        Arc::make_mut(&mut self.values).set(name, value);
        self.done()
    }

    fn prepare(&mut self, name: Arc<str>, prepared: Prepared) -> Answer {
        if self.prepared.len() >= MAX_PREPARED {
            return self.fail(invalid());
        }
        self.prepared.insert(name, prepared);
        self.done()
    }

    async fn begin(&mut self, catalog: &Catalog, request: &Request, access: Access) -> Answer {
        if self.state() != SessionState::Idle {
            return self.fail(invalid());
        }
        let Some(route) = catalog.routes.get(&self.route).map(Arc::clone) else {
            return self.fail(no_such_route());
        };
        let id = Arc::clone(&request.id);
        let task = self.task(id, Arc::clone(&route), Action::Admit);
        let (reply, _) = forwarding::start(&self.node, task).await;
        match reply.answer.outcome {
            Outcome::Done(_) => {
                self.transaction = Transaction::Begun { access, route };
                self.done()
            }
            Outcome::Failed(failure) => self.fail(failure),
        }
    }

    async fn commit(&mut self, request: Request) -> Answer {
        let text = request.text;
        let reply = match std::mem::take(&mut self.transaction) {
            Transaction::Open { route, mut place } => {
                let unopened = None;
                let task = self.task(request.id, route, Action::Commit { unopened, text });
                place.run(&task).await
            }
            Transaction::Begun { access, route } => {
                let unopened = Some(access);
                let task = self.task(request.id, route, Action::Commit { unopened, text });
                forwarding::start(&self.node, task).await.0
            }
            Transaction::Failed => return self.fail(rolled_back()),
            Transaction::None => return self.fail(invalid()),
        };
        self.mark = self.mark.max(reply.mark);
        reply.answer
    }

    async fn roll_back(&mut self) -> Answer {
        match &self.transaction {
            Transaction::None => return self.fail(invalid()),
            Transaction::Open { .. } => self.abandon().await,
            Transaction::Begun { .. } | Transaction::Failed => {
                self.transaction = Transaction::None;
            }
        }
        self.done()
    }

    async fn execute(&mut self, catalog: &Catalog, id: &Arc<str>, runnable: Runnable) -> Answer {
        let id = Arc::clone(id);
        match std::mem::take(&mut self.transaction) {
            Transaction::None => {
                let Some(route) = catalog.routes.get(&self.route) else {
                    return self.fail(no_such_route());
                };
                let task = self.task(id, Arc::clone(route), Action::Alone(runnable));
                let (reply, _) = forwarding::start(&self.node, task).await;
                self.mark = self.mark.max(reply.mark);
                reply.answer
            }
            Transaction::Failed => {
                self.transaction = Transaction::Failed;
                self.fail(invalid())
            }
            Transaction::Begun { access, route } => {
                let first = runnable;
                let task = self.task(id, Arc::clone(&route), Action::Begin { access, first });
                let (reply, place) = forwarding::start(&self.node, task).await;
                self.go_on(route, reply, place.map(Box::new))
            }
            Transaction::Open { route, mut place } => {
                let task = self.task(id, Arc::clone(&route), Action::Inside(runnable));
                let reply = place.run(&task).await;
                self.go_on(route, reply, Some(place))
            }
        }
    }

    /// Keeps a transaction that is still open after one of its statements.
    fn go_on(&mut self, route: Arc<Route>, reply: Reply, place: Option<Box<Place>>) -> Answer {
        let open = reply.answer.state == SessionState::Open;
        self.transaction = match place.filter(|_| open) {
            Some(place) => Transaction::Open { route, place },
            None => Transaction::Failed,
        };
        reply.answer
    }

    fn task(&self, id: Arc<str>, route: Arc<Route>, action: Action) -> Task {
        Task {
            id,
            route,
            workspace: self.workspace.clone(),
            mark: self.mark,
            values: Arc::clone(&self.values),
            action,
        }
    }

    async fn fail_step(&mut self, failure: Failure) -> Answer {
        if self.state() == SessionState::Open {
            self.abandon().await;
            self.transaction = Transaction::Failed;
        }
        self.fail(failure)
    }

    const fn done(&self) -> Answer {
        Answer::own(Outcome::Done(None), self.transaction.state())
    }

    fn fail(&self, failure: Failure) -> Answer {
        Answer::own(Outcome::Failed(failure), self.transaction.state())
    }
}

fn workspace(catalog: &Catalog, route: &Route, key: &str) -> Option<WorkspaceName> {
    let known = catalog.workspace_of(key);
    let name = known.map(|workspace| workspace.name.clone());
    name.or_else(|| route.open.then(|| WorkspaceName::from(ANYONE)))
}

fn no_such_route() -> Failure {
    Failure::own(
        FailureKind::NoSuchRoute,
        "not run: no such route; check its name",
    )
}

fn unauthorized() -> Failure {
    Failure::own(
        FailureKind::Unauthorized,
        "not run: the key belongs to no workspace; ask the operators for a new one",
    )
}

fn no_such_statement() -> Failure {
    Failure::own(
        FailureKind::NoSuchStatement,
        "not run: no such prepared statement",
    )
}

fn rolled_back() -> Failure {
    Failure::own(FailureKind::Aborted, "not kept: the transaction had failed")
}

fn invalid() -> Failure {
    Failure::own(
        FailureKind::Invalid,
        "not run: not a statement of this state",
    )
}
