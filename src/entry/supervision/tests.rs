use std::cell::Cell;
use std::rc::Rc;

use tokio::task::LocalSet;
use tokio::time::sleep;

use super::{RESTART_DELAY, spawn};

/// Guards against a VM that goes on without a task that an unexpected error has ended.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_anew() {
    let runs = Rc::new(Cell::new(0));
    let counted = Rc::clone(&runs);
    let supervised = async {
        spawn("test", move || {
            let runs = Rc::clone(&counted);
            async move {
                runs.set(runs.get() + 1);
                assert!(runs.get() > 2, "unexpected error");
            }
        });
        sleep(RESTART_DELAY * 10).await;
    };
    LocalSet::new().run_until(supervised).await;
    assert_eq!(runs.get(), 3);
}
