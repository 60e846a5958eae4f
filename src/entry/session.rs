//! Session of one caller.

use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;

use tokio::time::Instant;

use super::admission;
use super::catalog::{Catalog, Route};
use super::execution::{self, Need};
use super::link::{SessionValues, Setup, shared_name};
use super::node::Node;
use super::position::Position;
use super::statement::{
    Access, Answer, Failure, FailureKind, InstanceCommand, Outcome, Prepared, Request,
    SessionState, Statement,
};
use super::transaction::{Begun, Step, Transaction};
use crate::name::WorkspaceName;
use crate::telemetry::metrics::metrics;

/// Prepared statements of one session; more are refused.
const MAX_PREPARED: usize = 256;

/// Values of one session; more are refused.
const MAX_VALUES: usize = 64;

/// Name under which callers without a key of their own reach open routes.
const ANYONE: &str = "-";

/// Session of one caller.
#[derive(Debug)]
pub struct Session {
    node: Rc<Node>,
    route: Arc<str>,
    key: Arc<str>,
    workspace: WorkspaceName,
    values: SessionValues,
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
            values: SessionValues::default(),
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
                let command = InstanceCommand::Run(request.clone());
                self.execute(catalog, &request.id, command, access, None)
                    .await
            }
            Statement::Execute { name, arguments } => {
                let Some(prepared) = self.prepared.get(&name).cloned() else {
                    return self.fail_step(no_such_statement()).await;
                };
                let command = InstanceCommand::Execute {
                    id: Arc::clone(&request.id),
                    name: shared_name(&prepared),
                    arguments,
                };
                let access = prepared.access;
                self.execute(catalog, &request.id, command, access, Some(prepared))
                    .await
            }
            Statement::Invalid => self.fail(invalid()),
        }
    }

    /// Ends a transaction that was idle for too long; the caller learns of it with its next
    /// request.
    pub async fn end_idle_transaction(&mut self) {
        if let Transaction::Open(open) = std::mem::take(&mut self.transaction) {
            open.rollback().await;
        }
        self.transaction = Transaction::Failed;
        log::info!(
            "event=transaction_idle workspace={} route={}",
            self.workspace,
            self.route
        );
    }

    /// Ends what the caller left behind.
    pub async fn abandon(&mut self) {
        if let Transaction::Open(open) = std::mem::take(&mut self.transaction) {
            open.rollback().await;
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
        self.values.set(name, value);
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
        let Some(route) = catalog.routes.get(&self.route) else {
            return self.fail(no_such_route());
        };
        if let Err(failure) = self.admit(catalog, &request.id).await {
            return self.fail(failure);
        }
        self.transaction = Transaction::Begun(Begun {
            access,
            route: Arc::clone(route),
        });
        self.done()
    }

    async fn commit(&mut self, request: Request) -> Answer {
        let open = match std::mem::take(&mut self.transaction) {
            Transaction::Open(open) => open,
            Transaction::Begun(begun) => match self.start(begun, &request.id).await {
                Ok(open) => Box::new(open),
                Err(failure) => return self.fail(failure),
            },
            Transaction::Failed => return self.fail(rolled_back()),
            Transaction::None => return self.fail(invalid()),
        };
        let timeout = open.route().statement_timeout;
        let command = InstanceCommand::Run(request);
        let deadline = Instant::now() + timeout;
        let (answer, mark) = open.commit(&command, &self.values, deadline).await;
        self.mark = self.mark.max(mark);
        answer
    }

    async fn roll_back(&mut self) -> Answer {
        match std::mem::take(&mut self.transaction) {
            Transaction::Open(open) => open.rollback().await,
            Transaction::Begun(_) | Transaction::Failed => {}
            Transaction::None => return self.fail(invalid()),
        }
        self.done()
    }

    async fn execute(
        &mut self,
        catalog: &Catalog,
        id: &Arc<str>,
        command: InstanceCommand,
        access: Access,
        prepared: Option<Prepared>,
    ) -> Answer {
        match std::mem::take(&mut self.transaction) {
            Transaction::None => self.run_alone(catalog, id, command, access, prepared).await,
            Transaction::Failed => {
                self.transaction = Transaction::Failed;
                self.fail(invalid())
            }
            Transaction::Begun(begun) => match self.start(begun, id).await {
                Ok(open) => {
                    self.transaction = Transaction::Open(Box::new(open));
                    self.run_inside(command, access, prepared).await
                }
                Err(failure) => {
                    self.transaction = Transaction::Failed;
                    self.fail(failure)
                }
            },
            Transaction::Open(open) => {
                self.transaction = Transaction::Open(open);
                self.run_inside(command, access, prepared).await
            }
        }
    }

    async fn run_alone(
        &mut self,
        catalog: &Catalog,
        id: &Arc<str>,
        command: InstanceCommand,
        access: Access,
        prepared: Option<Prepared>,
    ) -> Answer {
        let Some(route) = catalog.routes.get(&self.route).map(Arc::clone) else {
            return self.fail(no_such_route());
        };
        if let Err(failure) = self.admit(catalog, id).await {
            return self.fail(failure);
        }
        let need = Need {
            id,
            route: &route,
            workspace: &self.workspace,
            access,
            starts_transaction: false,
            mark: self.mark,
            setup: Setup {
                values: &self.values,
                prepared: command.prepared_name().zip(prepared.as_ref()),
                in_transaction: false,
            },
            deadline: Instant::now() + route.statement_timeout,
        };
        match execution::run(&self.node, &need, &command).await {
            Ok(ran) => {
                let done = matches!(ran.answer.outcome, Outcome::Done(_));
                if done && access == Access::Write {
                    self.mark = self.mark.max(ran.answer.position);
                }
                if ran.answer.state != SessionState::Idle {
                    ran.lease.close();
                }
                Answer {
                    state: SessionState::Idle,
                    ..ran.answer
                }
            }
            Err(failure) => self.fail(failure),
        }
    }

    async fn run_inside(
        &mut self,
        command: InstanceCommand,
        access: Access,
        prepared: Option<Prepared>,
    ) -> Answer {
        let Transaction::Open(mut open) = std::mem::take(&mut self.transaction) else {
            return self.fail(invalid());
        };
        let deadline = Instant::now() + open.route().statement_timeout;
        let step = Step {
            command,
            access,
            values: &self.values,
            prepared: prepared.as_ref(),
        };
        match open.run(&step, deadline).await {
            Ok(answer) if answer.state == SessionState::Open => {
                self.transaction = Transaction::Open(open);
                answer
            }
            Ok(answer) => {
                open.rollback().await;
                self.transaction = Transaction::Failed;
                Answer {
                    state: SessionState::Failed,
                    ..answer
                }
            }
            Err(failure) => {
                open.abandon();
                self.transaction = Transaction::Failed;
                self.fail(failure)
            }
        }
    }

    async fn start(
        &self,
        begun: Begun,
        id: &Arc<str>,
    ) -> Result<super::transaction::OpenTransaction, Failure> {
        let route = Arc::clone(&begun.route);
        let need = Need {
            id,
            route: &route,
            workspace: &self.workspace,
            access: begun.access,
            starts_transaction: true,
            mark: self.mark,
            setup: Setup {
                values: &self.values,
                prepared: None,
                in_transaction: false,
            },
            deadline: Instant::now() + route.statement_timeout,
        };
        begun.open(&self.node, &need).await
    }

    async fn admit(&self, catalog: &Catalog, id: &Arc<str>) -> Result<(), Failure> {
        let route = catalog.routes.get(&self.route);
        let workspace = catalog.workspaces.get(&self.workspace);
        // Callers without a key of their own have no limit of their own.
        let (Some(route), Some(workspace)) = (route, workspace) else {
            return Ok(());
        };
        admission::admit(&self.node, route, workspace, id).await
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
