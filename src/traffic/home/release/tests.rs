use super::*;

fn message(tag: u8, body: &[u8]) -> BytesMut {
    let mut message = BytesMut::from(&[tag][..]);
    message.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    message.extend_from_slice(body);
    message
}

fn complete(kind: CommandKind) -> Part {
    let message = message(b'C', b"\0");
    Part::Complete { message, kind }
}

fn rows() -> Part {
    Part::Pass(message(b'D', b""))
}

fn failed() -> Part {
    Part::Failed(message(b'E', b"\0"))
}

/// Returns the tags of what may be sent.
fn sent(output: &mut Output) -> String {
    let mut tags = String::new();
    while let Some(mut frame) = output.next_frame() {
        while let Ok(Some(bytes)) = message_bytes(&frame) {
            tags.push(char::from(frame.split_to(bytes)[0]));
        }
    }
    tags
}

#[test]
fn success_is_held_until_the_gate_has_passed() {
    use CommandKind::{Commit, Read, Rollback, Write};
    use TransactionStatus::{Failed, Idle, Open};
    struct Case {
        name: &'static str,
        parts: Vec<Part>,
        access: Access,
        status: TransactionStatus,
        before: &'static str,
        gated: bool,
    }
    let case = |name, parts, access, status, before, gated| Case {
        name,
        parts,
        access,
        status,
        before,
        gated,
    };
    let cases = [
        case(
            "write",
            vec![complete(Write)],
            Access::Write,
            Idle,
            "",
            true,
        ),
        case(
            "returning",
            vec![rows(), complete(Write)],
            Access::Write,
            Idle,
            "D",
            true,
        ),
        case(
            "commit",
            vec![complete(Commit)],
            Access::Write,
            Idle,
            "",
            true,
        ),
        case(
            "in a transaction",
            vec![complete(Write)],
            Access::Write,
            Open,
            "",
            false,
        ),
        case(
            "commit, then more",
            vec![complete(Write), complete(Commit), rows(), complete(Read)],
            Access::Write,
            Open,
            "C",
            true,
        ),
        case(
            "commit, then an error",
            vec![complete(Commit), failed()],
            Access::Write,
            Failed,
            "",
            true,
        ),
        case(
            "error",
            vec![complete(Write), failed()],
            Access::Write,
            Idle,
            "CE",
            false,
        ),
        case(
            "rollback",
            vec![complete(Rollback)],
            Access::Write,
            Idle,
            "",
            false,
        ),
        case(
            "read",
            vec![rows(), complete(Read)],
            Access::Read,
            Idle,
            "D",
            false,
        ),
        case(
            "read that wrote",
            vec![complete(Write)],
            Access::Read,
            Idle,
            "",
            true,
        ),
        case(
            "function",
            vec![rows(), complete(Read)],
            Access::Write,
            Idle,
            "D",
            true,
        ),
    ];
    for case in cases {
        let mut output = Output::default();
        for part in case.parts {
            output.push(part).unwrap();
        }
        assert_eq!(sent(&mut output), case.before, "{}", case.name);
        let gated = output.needs_gate(case.access, case.status);
        assert_eq!(gated, case.gated, "{}", case.name);
        output.finish(message(b'Z', b"I"));
        assert!(sent(&mut output).ends_with('Z'), "{}", case.name);
    }
}

#[test]
fn an_answer_behind_a_commit_is_held_within_a_bound() {
    let mut output = Output::default();
    output.push(complete(CommandKind::Commit)).unwrap();
    let large = vec![0; 64 * 1024];
    let pushed = (0..17).try_for_each(|_| output.push(Part::Pass(message(b'D', &large))));
    assert_eq!(pushed, Err(RefusalReason::AnswerLost));
}

#[test]
fn frames_fit_the_window() {
    let mut output = Output::default();
    let mut total = 0;
    for size in [10, MAX_FRAME_BYTES, 3 * MAX_FRAME_BYTES, 10] {
        let row = message(b'D', &vec![0; size]);
        total += row.len();
        output.push(Part::Pass(row)).unwrap();
    }
    let mut received = 0;
    while let Some(frame) = output.next_frame() {
        assert!(frame.len() <= MAX_FRAME_BYTES);
        received += frame.len();
    }
    assert_eq!(received, total);
}
