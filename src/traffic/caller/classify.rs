//! Tells from a statement's text what it may do.
//!
//! A statement is a read only when every word of it is known to be harmless; what can't be placed
//! is a write. A read that still turns out to write is refused by the replica.

use sqlparser::dialect::PostgreSqlDialect;
use sqlparser::tokenizer::{Token, Tokenizer, Word};

use super::functions;
use super::session_statement;
use super::setting::SessionChange;
use crate::traffic::Access;

/// Why a statement is not passed on.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Rejection {
    /// It would change state that outlives the transaction.
    SessionState,
    /// It calls a function that only the VMs may call.
    ReservedFunction,
}

/// What is done with the text of a statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Plan {
    /// There is nothing to run.
    Empty,
    /// It is passed on.
    Run(Access),
    /// It changes the session's own state.
    Change(Vec<SessionChange>),
    /// It is not passed on.
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

/// Keeps what could not be split into words from reaching reserved functions.
fn classify_unreadable(text: &str) -> Plan {
    let lower = text.to_ascii_lowercase();
    if lower.contains(functions::RESERVED_PREFIX) {
        return Plan::Reject(Rejection::ReservedFunction);
    }
    if functions::SESSION_STATE
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
            // What the session keeps and what the database runs can't fail together.
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
        // A parenthesis may open a query.
        let read = tokens[0] == Token::LParen && is_read_only(tokens);
        return Plan::Run(if read { Access::Read } else { Access::Write });
    };
    match &*first {
        "SELECT" | "WITH" | "VALUES" | "TABLE" => query(tokens),
        "SHOW" | "COMMIT" | "END" | "ROLLBACK" | "ABORT" | "SAVEPOINT" | "RELEASE" => {
            transaction_end(tokens)
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
            || functions::OTHER_SESSIONS.contains(&&*name)
        {
            return Some(Rejection::ReservedFunction);
        }
        let called = tokens.get(index + 1) == Some(&Token::LParen);
        let lasts = name == "set_config" && called && !is_local_set_config(&tokens[index + 1..]);
        (lasts || functions::SESSION_STATE.contains(&&*name)).then_some(Rejection::SessionState)
    })
}

/// Returns whether the third argument of `set_config` is the literal `true`.
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

fn transaction_end(tokens: &[Token]) -> Plan {
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
    let mut reads_rows = false;
    for (index, token) in tokens.iter().enumerate() {
        match token {
            Token::LParen => depth += 1,
            Token::RParen => depth = depth.saturating_sub(1),
            Token::Word(_) if depth == 0 => {
                reads_rows |= contains(
                    &tokens[index..tokens.len().min(index + 2)],
                    &["TO", "STDOUT"],
                );
            }
            _ => {}
        }
    }
    let read = reads_rows && is_read_only(tokens);
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

/// Returns whether no word writes, locks or calls a function that isn't known to be harmless.
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
        !called || functions::is_harmless(word, &tokens[..index])
    })
}

pub(super) fn is_unquoted(word: &Word) -> bool {
    word.quote_style.is_none()
}

/// Returns the unquoted word at an index, in upper case.
pub(super) fn keyword(tokens: &[Token], index: usize) -> Option<String> {
    match tokens.get(index) {
        Some(Token::Word(word)) if is_unquoted(word) => Some(word.value.to_ascii_uppercase()),
        _ => None,
    }
}

/// Returns whether the words follow each other somewhere in the statement.
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
