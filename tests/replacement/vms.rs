//! Steps of the VMs: what they know of the record, their confirmations, and their saves.

use currantlb::entry::replacement::acknowledgement;

use super::steps::{Step, push};
use super::world::{Defect, Entry, Holder, RecordPhase, Save, Violation, World};

pub fn vm_steps(world: &World, defect: Defect, steps: &mut Vec<Step>) {
    let known = &world.vm;
    if known.is_valid && known.record != world.record {
        push(steps, "the VM learns the record", world, |next| {
            next.vm.record = next.record;
            if next.record.phase == RecordPhase::Steady {
                next.vm.withholds = false;
            }
        });
    }
    if !known.is_valid {
        push(steps, "the VM registers again", world, |next| {
            next.vm.is_valid = true;
            next.vm.record = next.record;
            if next.record.phase == RecordPhase::Steady {
                next.vm.withholds = false;
            } else if defect != Defect::RegisteredVmAcknowledges {
                next.vm.withholds = true;
            }
        });
    }
    let is_awaited =
        |holder: &Holder| matches!(holder, Holder::Running(running) if running.awaits_vm);
    if known.is_valid && world.holders.iter().any(is_awaited) {
        push(steps, "the VM's lease ends", world, |next| {
            next.vm.is_valid = false;
            release(next);
        });
        if defect == Defect::RevocationEndsValidity {
            push(steps, "the VM's registration is revoked", world, release);
        }
    }
    for index in 0..2 {
        let of_holder = [RecordPhase::Moving(index), RecordPhase::Settling(index)];
        if is_awaited(&world.holders[index])
            && known.is_valid
            && of_holder.contains(&known.record.phase)
        {
            push(
                steps,
                format!("the VM confirms to holder {index}"),
                world,
                |next| {
                    let content = next.vm.record.content();
                    next.vm.withholds = defect != Defect::AcknowledgesAfterConfirmation
                        && acknowledgement::withholds_after_confirmation(Some(&content));
                    if let Holder::Running(running) = &mut next.holders[index] {
                        running.awaits_vm = false;
                    }
                },
            );
        }
    }
}

/// Ends the wait of all holders for the VM.
fn release(world: &mut World) {
    for holder in &mut world.holders {
        if let Holder::Running(running) = holder {
            running.awaits_vm = false;
        }
    }
}

fn send_steps(world: &World, defect: Defect, steps: &mut Vec<Step>) {
    let by_cut = world.vm.is_valid || defect == Defect::LapsedVmSaves;
    for (by_cut_vm, record, may_send) in
        [(true, world.vm.record, by_cut), (false, world.record, true)]
    {
        let instance = record.primary;
        let member = &world.members[instance];
        let takes_saves = record.phase == RecordPhase::Steady && member.is_alive && member.leads;
        if may_send && takes_saves && world.saves > 0 {
            push(
                steps,
                format!("a save is sent, cut VM: {by_cut_vm}"),
                world,
                |next| {
                    let bit = 1 << next.sent;
                    next.sent += 1;
                    next.saves -= 1;
                    let term = next.members[instance].term;
                    next.members[instance].log.push(Entry { term, save: bit });
                    next.save = Some(Save {
                        bit,
                        instance,
                        by_cut_vm,
                        is_committed: false,
                        is_late: false,
                    });
                },
            );
        }
    }
}

pub fn save_steps(world: &World, defect: Defect, steps: &mut Vec<Step>) {
    let Some(save) = world.save else {
        send_steps(world, defect, steps);
        return;
    };
    let member = &world.members[save.instance];
    let holds = |index: usize| {
        world.members[index].is_alive && world.members[index].saves() & save.bit != 0
    };
    if !save.is_committed {
        let is_received = (0..3).any(|index| index != save.instance && holds(index));
        if member.is_alive && member.leads && is_received && holds(save.instance) {
            push(steps, "the save is committed", world, |next| {
                let is_late = next.leader() != Some(save.instance);
                let position = next.members[save.instance].received();
                if next.reported.0 != save.instance || next.reported.1 < position {
                    next.reported = (save.instance, position);
                }
                next.save = Some(Save {
                    is_committed: true,
                    is_late,
                    ..save
                });
            });
        }
        push(steps, "the save is given up", world, |next| {
            next.save = None;
        });
        return;
    }
    push(steps, "the answer to the save arrives", world, |next| {
        next.save = None;
        let is_acknowledged = if save.by_cut_vm {
            (next.vm.is_valid || defect == Defect::LapsedVmSaves)
                && next.vm.may_acknowledge(save.instance)
        } else {
            next.record.primary == save.instance && next.record.phase == RecordPhase::Steady
        };
        if is_acknowledged {
            next.acknowledged |= save.bit;
            if save.is_late {
                next.violation = Some(Violation::TwoPrimaries);
            }
        }
    });
}
