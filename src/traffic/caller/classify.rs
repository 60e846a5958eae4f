//! Classifies statements by their text.
//!
//! A statement counts as a read only when all of its keywords and function calls are known to be
//! free of side effects; anything else counts as a write. A statement that is misclassified as a
//! read and still writes is rejected by the replica.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Word};

use super::functions;
use super::session_statement;
use super::setting::SessionChange;
use crate::traffic::Access;

/// Why a statement is not sent to the database.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It changes session state that outlives the transaction.
    SessionState,
    /// It calls a function that is reserved for the VMs.
    ReservedFunction,
}

/// How a statement is handled.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Plan {
    /// The text contains no statement.
    Empty,
    /// It is sent to the database.
    Run(Access),
    /// It changes state that the session itself keeps, such as settings.
    Change(Vec<SessionChange>),
    /// It is refused.
    Reject(Rejection),
}

/// Classifies the text of one or more statements.
pub(crate) fn classify(text: &str) -> Plan {
    let Ok(tokens) = Tokenizer::new(&PostgreSqlDialect {}, text).tokenize() else {
        return classify_unreadable(text);
    };
    let tokens: Vec<_> = tokens
        .into_iter()
        .filter(|token| !matches!(token, Token::Whitespace(_) | Token::EOF))
        .collect();
    let statements = tokens.split(|token| *token == Token::SemiColon);
    let plans = statements
        .filter(|statement| !statement.is_empty())
        .map(classify_statement);
    combine(plans)
}

/// Classifies a text that the tokenizer rejects. It is treated as a write, unless it mentions a
/// function that may not be called.
fn classify_unreadable(text: &str) -> Plan {
    let lower = text.to_ascii_lowercase();
    if lower.contains(functions::RESERVED_PREFIX) {
        return Plan::Reject(Rejection::ReservedFunction);
    }
    if functions::SESSION_STATE_FUNCTIONS
        .iter()
        .any(|name| lower.contains(name))
    {
        return Plan::Reject(Rejection::SessionState);
    }
    Plan::Run(Access::Write)
}

fn combine(plans: impl Iterator<Item = Plan>) -> Plan {
    let mut combined = Plan::Empty;
    for plan in plans {
        combined = match (combined, plan) {
            (Plan::Reject(rejection), _) | (_, Plan::Reject(rejection)) => Plan::Reject(rejection),
            (Plan::Empty, plan) => plan,
            (Plan::Run(Access::Read), Plan::Run(Access::Read)) => Plan::Run(Access::Read),
            (Plan::Run(_), Plan::Run(_)) => Plan::Run(Access::Write),
            (Plan::Change(mut changes), Plan::Change(more)) => {
                changes.extend(more);
                Plan::Change(changes)
            }
            // Session changes and statements of the database can't be applied atomically.
            _ => Plan::Reject(Rejection::SessionState),
        };
    }
    combined
}

fn classify_statement(tokens: &[Token]) -> Plan {
    if let Some(rejection) = rejected_call(tokens) {
        return Plan::Reject(rejection);
    }
    let Some(first) = keyword(tokens, 0) else {
        // A query may start with a parenthesis.
        let read = tokens[0] == Token::LParen && is_read_only(tokens);
        return Plan::Run(if read { Access::Read } else { Access::Write });
    };
    match &*first {
        "SELECT" | "WITH" | "VALUES" | "TABLE" => query(tokens),
        "SHOW" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SAVEPOINT" | "RELEASE" => {
            transaction_control(tokens)
        }
        "BEGIN" | "START" => begin(tokens),
        "COPY" => copy(tokens),
        "CREATE" => create(tokens),
        "DECLARE" if contains(tokens, &["WITH", "HOLD"]) => Plan::Reject(Rejection::SessionState),
        _ => session_statement::plan(&first, tokens).unwrap_or(Plan::Run(Access::Write)),
    }
}

fn rejected_call(tokens: &[Token]) -> Option<Rejection> {
    tokens.iter().enumerate().find_map(|(index, token)| {
        let Token::Word(word) = token else {
            return None;
        };
        let name = word.value.to_ascii_lowercase();
        if name.starts_with(functions::RESERVED_PREFIX)
            || functions::CROSS_SESSION_FUNCTIONS.contains(&&*name)
        {
            return Some(Rejection::ReservedFunction);
        }
        let called = tokens.get(index + 1) == Some(&Token::LParen);
        let is_session_wide =
            name == "set_config" && called && !is_local_set_config(&tokens[index + 1..]);
        (is_session_wide || functions::SESSION_STATE_FUNCTIONS.contains(&&*name))
            .then_some(Rejection::SessionState)
    })
}

/// Returns whether the last argument of `set_config` (`is_local`) is the literal `true`.
fn is_local_set_config(arguments: &[Token]) -> bool {
    let mut depth = 0_usize;
    for (index, token) in arguments.iter().enumerate() {
        match token {
            Token::LParen => depth += 1,
            Token::RParen if depth == 1 => {
                return keyword(arguments, index - 1).is_some_and(|word| word == "TRUE")
                    && arguments.get(index.wrapping_sub(2)) == Some(&Token::Comma);
            }
            Token::RParen => depth -= 1,
            _ => {}
        }
    }
    false
}

fn query(tokens: &[Token]) -> Plan {
    let temporary = ["TEMP", "TEMPORARY"]
        .iter()
        .any(|word| contains(tokens, &["INTO", word]));
    if temporary {
        return Plan::Reject(Rejection::SessionState);
    }
    Plan::Run(if is_read_only(tokens) {
        Access::Read
    } else {
        Access::Write
    })
}

fn transaction_control(tokens: &[Token]) -> Plan {
    let prepared = tokens.iter().any(
        |token| matches!(token, Token::Word(word) if word.value.eq_ignore_ascii_case("PREPARED")),
    );
    Plan::Run(if prepared {
        Access::Write
    } else {
        Access::Read
    })
}

fn begin(tokens: &[Token]) -> Plan {
    let read_only = contains(tokens, &["READ", "ONLY"]) && !contains(tokens, &["READ", "WRITE"]);
    Plan::Run(if read_only {
        Access::Read
    } else {
        Access::Write
    })
}

fn copy(tokens: &[Token]) -> Plan {
    let mut depth = 0_usize;
    let mut copies_to_client = false;
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Word(_) if depth == 0 => {
                copies_to_client |= contains(
                    &tokens[index..tokens.len().min(index + 2)],
                    &["TO", "STDOUT"],
                );
            }
            _ => {}
        }
    }
    let read = copies_to_client && is_read_only(tokens);
    Plan::Run(if read { Access::Read } else { Access::Write })
}

fn create(tokens: &[Token]) -> Plan {
    let head = &tokens[..tokens.len().min(4)];
    let temporary = head.iter().any(|token| {
        matches!(token, Token::Word(word) if is_unquoted(word)
            && ["TEMP", "TEMPORARY"].iter().any(|name| word.value.eq_ignore_ascii_case(name)))
    });
    if temporary && !contains(tokens, &["ON", "COMMIT", "DROP"]) {
        return Plan::Reject(Rejection::SessionState);
    }
    Plan::Run(Access::Write)
}

/// Returns whether the statement has no keyword that writes or locks, and calls only functions that
/// are known to be free of side effects.
fn is_read_only(tokens: &[Token]) -> bool {
    tokens.iter().enumerate().all(|(index, token)| {
        let Token::Word(word) = token else {
            return true;
        };
        let upper = word.value.to_ascii_uppercase();
        if is_unquoted(word) && functions::WRITING_KEYWORDS.contains(&&*upper) {
            return false;
        }
        if is_unquoted(word) && upper == "FOR" {
            let next = keyword(tokens, index + 1).unwrap_or_default();
            return !matches!(&*next, "UPDATE" | "SHARE" | "NO" | "KEY");
        }
        let called = tokens.get(index + 1) == Some(&Token::LParen);
        !called || functions::is_side_effect_free(word, &tokens[..index])
    })
}

pub(super) fn is_unquoted(word: &Word) -> bool {
    word.quote_style.is_none()
}

/// Returns the unquoted word at an index, in upper case; `None` for any other token.
pub(super) fn keyword(tokens: &[Token], index: usize) -> Option<String> {
    match tokens.get(index) {
        Some(Token::Word(word)) if is_unquoted(word) => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

/// Returns whether the statement contains the words in sequence, unquoted and in any case.
pub(super) fn contains(tokens: &[Token], words: &[&str]) -> bool {
    tokens.windows(words.len()).any(|window| {
        window.iter().zip(words).all(|(token, expected)| {
            matches!(token, Token::Word(word)
                if is_unquoted(word) && word.value.eq_ignore_ascii_case(expected))
        })
    })
}

#[cfg(test)]
mod tests;
