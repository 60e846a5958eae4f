use super::*;

fn message(tag: u8, body: &[u8]) -> BytesMut {
    let mut message = BytesMut::from(&[tag][..]);
    message.extend_from_slice(&(body.len() as u32 + 4).to_be_bytes());
    message.extend_from_slice(body);
    message
}

fn complete(kind: CommandKind) -> ResponsePart {
    let message = message(b'C', b"\0");
    ResponsePart::Complete { message, kind }
}

fn rows() -> ResponsePart {
    ResponsePart::Pass(message(b'D', b""))
}

fn failed() -> ResponsePart {
    ResponsePart::Failed(message(b'E', b"\0"))
}

/// Takes all messages that may be sent and returns their tags.
fn sent(output: &mut Output) -> String {
    let mut tags = String::new();
    while let Some(mut frame) = output.next_frame() {
        while let Ok(Some(bytes)) = message_bytes(&frame) {
            tags.push(char::from(frame.split_to(bytes)[0]));
        }
    }
    tags
}

struct Case {
    name: &'static str,
    /// Messages of the instance: D row, E error, and completed commands: W write, R read, C commit,
    /// B rollback.
    parts: &'static str,
    access: Access,
    status: TransactionStatus,
    /// Tags of the messages that may be sent before the gate has released the response.
    before: &'static str,
    gated: bool,
}

const GATE_CASES: [Case; 11] = [
    Case {
        name: "write",
        parts: "W",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "",
        gated: true,
    },
    Case {
        name: "write that returns rows",
        parts: "DW",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "D",
        gated: true,
    },
    Case {
        name: "commit",
        parts: "C",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "",
        gated: true,
    },
    Case {
        name: "write in a transaction",
        parts: "W",
        access: Access::Write,
        status: TransactionStatus::Open,
        before: "",
        gated: false,
    },
    Case {
        name: "commit, then a read",
        parts: "WCDR",
        access: Access::Write,
        status: TransactionStatus::Open,
        before: "C",
        gated: true,
    },
    Case {
        name: "commit, then an error",
        parts: "CE",
        access: Access::Write,
        status: TransactionStatus::Failed,
        before: "",
        gated: true,
    },
    Case {
        name: "write, then an error",
        parts: "WE",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "CE",
        gated: false,
    },
    Case {
        name: "rollback",
        parts: "B",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "",
        gated: false,
    },
    Case {
        name: "read",
        parts: "DR",
        access: Access::Read,
        status: TransactionStatus::Idle,
        before: "D",
        gated: false,
    },
    Case {
        name: "write classified as a read",
        parts: "W",
        access: Access::Read,
        status: TransactionStatus::Idle,
        before: "",
        gated: true,
    },
    Case {
        name: "rows of a statement that may write",
        parts: "DR",
        access: Access::Write,
        status: TransactionStatus::Idle,
        before: "D",
        gated: true,
    },
];

fn part(symbol: char) -> ResponsePart {
    match symbol {
        'D' => rows(),
        'E' => failed(),
        'W' => complete(CommandKind::Write),
        'R' => complete(CommandKind::Read),
        'C' => complete(CommandKind::Commit),
        _ => complete(CommandKind::Rollback),
    }
}

#[test]
fn acknowledged_writes_are_held_until_the_gate_releases_them() {
    for case in GATE_CASES {
        let mut output = Output::default();
        for symbol in case.parts.chars() {
            output.push(part(symbol)).unwrap();
        }
        assert_eq!(sent(&mut output), case.before, "{}", case.name);
        let gated = output.needs_gate(case.access, case.status);
        assert_eq!(gated, case.gated, "{}", case.name);
        output.finish(message(b'Z', b"I"));
        assert!(sent(&mut output).ends_with('Z'), "{}", case.name);
    }
}

#[test]
fn a_response_after_a_commit_fails_when_it_exceeds_the_buffer_limit() {
    let mut output = Output::default();
    output.push(complete(CommandKind::Commit)).unwrap();
    let large = vec![0; 64 * 1024];
    let pushed = (0..17).try_for_each(|_| output.push(ResponsePart::Pass(message(b'D', &large))));
    assert_eq!(pushed, Err(RefusalReason::AnswerLost));
}

#[test]
fn large_messages_are_split_into_frames_that_fit_the_window() {
    let mut output = Output::default();
    let mut total = 0;
    for size in [10, MAX_FRAME_BYTES, 3 * MAX_FRAME_BYTES, 10] {
        let row = message(b'D', &vec![0; size]);
        total += row.len();
        output.push(ResponsePart::Pass(row)).unwrap();
    }
    let mut received = 0;
    while let Some(frame) = output.next_frame() {
        assert!(frame.len() <= MAX_FRAME_BYTES);
        received += frame.len();
    }
    assert_eq!(received, total);
}
