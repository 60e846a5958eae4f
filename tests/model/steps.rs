//! Steps of the model: the transitions from a state to its successors.

use std::fmt;

use super::decisions::{Decisions, Verdict};
use super::state::{INSTANCES, SAVES, Save, State, VMS};

type Steps = Vec<(Step, State)>;

/// Description of one step: a text template and the two numbers for its placeholders. A number
/// without "VM" or "save" before it is that of an instance.
#[derive(Debug, Clone, Copy)]
pub struct Step {
    template: &'static str,
    numbers: [usize; 2],
}

impl Step {
    const fn new(template: &'static str, first: usize, second: usize) -> Self {
        Self {
            template,
            numbers: [first, second],
        }
    }
}

impl fmt::Display for Step {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut numbers = self.numbers.iter();
        for (i, text) in self.template.split("{}").enumerate() {
            if i > 0 {
                write!(f, "{}", numbers.next().copied().unwrap_or_default())?;
            }
            f.write_str(text)?;
        }
        Ok(())
    }
}

/// Returns the possible successors of a state, each with a description of its step.
pub fn successors(state: &State, decisions: &Decisions) -> Steps {
    let mut steps = Vec::new();
    for vm in 0..VMS {
        learn_primary(state, vm, &mut steps);
        promote(state, vm, decisions, &mut steps);
        follow(state, vm, &mut steps);
    }
    for instance in 0..INSTANCES {
        replicate(state, instance, &mut steps);
        restart(state, instance, &mut steps);
    }
    for save in 0..SAVES {
        execute(state, save, &mut steps);
        release_response(state, save, decisions, &mut steps);
    }
    for (_, next) in &mut steps {
        *next = next.canonical();
    }
    steps.retain(|(_, next)| next != state);
    steps
}

fn learn_primary(state: &State, vm: usize, steps: &mut Steps) {
    for (i, instance) in state.instances.iter().enumerate() {
        if !instance.is_primary || instance.adopted <= state.vms[vm].term {
            continue;
        }
        let mut next = *state;
        next.vms[vm].primary = u8::try_from(i).unwrap();
        next.vms[vm].term = instance.adopted;
        steps.push((Step::new("VM {} learns of primary {}", vm, i), next));
    }
}

fn promote(state: &State, vm: usize, decisions: &Decisions, steps: &mut Steps) {
    let known = &state.vms[vm];
    if known.promoting == 0 {
        if !known.attempted {
            let mut next = *state;
            next.vms[vm].attempted = true;
            next.vms[vm].promoting = (known.term / 2 + 1) * 2 + u8::try_from(vm).unwrap();
            steps.push((Step::new("VM {} starts a promotion", vm, 0), next));
        }
        return;
    }
    let candidates = decisions.candidates(&known.responses);
    for i in 0..INSTANCES {
        if known.responses[i].is_some() || !candidates.is_empty() {
            continue;
        }
        let mut lost = *state;
        let instance = &mut lost.instances[i];
        if known.promoting > instance.adopted {
            instance.adopted = known.promoting;
            instance.is_primary = false;
        }
        if state.faults_left > 0 {
            let mut lost = lost;
            lost.faults_left -= 1;
            steps.push((Step::new("VM {} has {} adopt, response lost", vm, i), lost));
        }
        if lost.instances[i].adopted == known.promoting {
            let mut delivered = lost;
            delivered.vms[vm].responses[i] = Some(delivered.instances[i].log.last());
            steps.push((Step::new("VM {} has {} adopt", vm, i), delivered));
        }
    }
    for candidate in candidates {
        let mut lost = *state;
        let instance = &mut lost.instances[candidate];
        let promoted = instance.adopted == known.promoting;
        if promoted {
            instance.log.start_term(known.promoting);
            instance.is_primary = true;
            instance.source = (0, 0);
        }
        lost.vms[vm].promoting = 0;
        lost.vms[vm].responses = Default::default();
        if state.faults_left > 0 || !promoted {
            let mut lost = lost;
            lost.faults_left -= u8::from(promoted);
            steps.push((
                Step::new("VM {} promotes {}, not confirmed", vm, candidate),
                lost,
            ));
        }
        if promoted {
            let mut delivered = lost;
            delivered.vms[vm].primary = u8::try_from(candidate).unwrap();
            delivered.vms[vm].term = known.promoting;
            steps.push((Step::new("VM {} promotes {}", vm, candidate), delivered));
        }
    }
}

fn follow(state: &State, vm: usize, steps: &mut Steps) {
    let known = &state.vms[vm];
    for i in 0..INSTANCES {
        if i == usize::from(known.primary) || known.term < state.instances[i].adopted {
            continue;
        }
        let mut next = *state;
        let instance = &mut next.instances[i];
        instance.adopted = known.term;
        instance.is_primary = false;
        instance.source = (known.primary + 1, known.term);
        steps.push((Step::new("VM {} has {} follow its primary", vm, i), next));
    }
}

fn replicate(state: &State, i: usize, steps: &mut Steps) {
    let (source, term) = state.instances[i].source;
    let Some(source) = usize::from(source).checked_sub(1) else {
        return;
    };
    let primary = &state.instances[source];
    if primary.is_primary && primary.adopted == term {
        let mut next = *state;
        next.instances[i].log.pull(primary.log);
        steps.push((Step::new("{} replicates from {}", i, source), next));
    }
}

fn restart(state: &State, i: usize, steps: &mut Steps) {
    if state.instances[i].is_primary && state.faults_left > 0 {
        let mut next = *state;
        next.faults_left -= 1;
        next.instances[i].is_primary = false;
        steps.push((
            Step::new("{} restarts and is no longer primary", i, 0),
            next,
        ));
    }
}

fn execute(state: &State, save: usize, steps: &mut Steps) {
    let retries = match state.saves[save] {
        Save::New => 0,
        Save::Unknown if state.retries_left > 0 => 1,
        _ => return,
    };
    for (vm, known) in state.vms.iter().enumerate() {
        let primary = usize::from(known.primary);
        let mut next = *state;
        let instance = &mut next.instances[primary];
        let has_run = instance.log.count(save) > 0;
        if !instance.is_primary || (instance.log.is_full() && !has_run) {
            continue;
        }
        // A retry finds the ledger entry that the first attempt wrote together with the save.
        if !has_run {
            instance.log.append(instance.adopted, save);
        }
        let (at, adopted) = (instance.log.last(), instance.adopted);
        let newer = state.instances.iter().filter(|i| i.adopted > adopted);
        let too_late = newer.count() * 2 > INSTANCES && !has_run;
        next.saves[save] = Save::Waiting {
            at,
            started_under: known.term,
            primary: known.primary,
            too_late,
        };
        next.retries_left -= retries;
        steps.push((Step::new("save {} runs through VM {}", save, vm), next));
    }
}

fn release_response(state: &State, save: usize, decisions: &Decisions, steps: &mut Steps) {
    let Save::Waiting {
        at,
        started_under,
        primary,
        too_late,
    } = state.saves[save]
    else {
        return;
    };
    let mut unknown = *state;
    unknown.saves[save] = Save::Unknown;
    steps.push((Step::new("save {} gets no response", save, 0), unknown));
    for (i, instance) in state.instances.iter().enumerate() {
        match decisions.gate(at, started_under, primary, i, *instance) {
            Verdict::Pass => {
                let mut next = *state;
                next.saves[save] = Save::Acknowledged { at, too_late };
                steps.push((
                    Step::new("save {} is acknowledged after a report of {}", save, i),
                    next,
                ));
            }
            Verdict::Refuse => {
                steps.push((
                    Step::new("save {} is refused after a report of {}", save, i),
                    unknown,
                ));
            }
            Verdict::Wait => {}
        }
    }
}
