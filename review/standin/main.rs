//! Stand-ins for the review's scripts: the platform's store and promotion call, one database of
//! three instances, and consumers. Starts the VMs as separate processes and disturbs them from
//! outside. Usage: `review-standin CASE FOLDER`; the environment variable `TROUBLE=0` leaves the
//! disruption out. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.

mod consumers;
mod database;
mod json;
mod link;
mod platform;
mod record;
mod vm;

mod cases;

use std::path::Path;
use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-standin CASE FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::run(case, Path::new(folder), trouble) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(reason) => {
            eprintln!("the case couldn't run: {reason}");
            ExitCode::from(2)
        }
    }
}
