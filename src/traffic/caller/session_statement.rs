//! Statements that change session state: `SET`, `RESET`, `DISCARD`, `DEALLOCATE` and similar ones.

use sqlparser::tokenizer::Token;

use super::classify::{Plan, Rejection, contains, keyword};
use super::setting::{SessionChange, Setting};
use crate::traffic::Access;

const REJECTED: Plan = Plan::Reject(Rejection::SessionState);

/// Plans a statement by its first keyword; `None` if it is not a session statement.
pub(super) fn plan(first: &str, tokens: &[Token]) -> Option<Plan> {
    let rest = &tokens[1..];
    let plan = match first {
        "SET" => set(rest),
        "RESET" => reset(rest),
        "DISCARD" => discard(rest),
        "DEALLOCATE" => deallocate(rest),
        "UNLISTEN" => Plan::Change(vec![SessionChange::Unlisten]),
        "EXECUTE" | "LISTEN" | "LOAD" | "PREPARE" => REJECTED,
        _ => return None,
    };
    Some(plan)
}

fn set(tokens: &[Token]) -> Plan {
    match keyword(tokens, 0).as_deref() {
        // The effect of these ends with the transaction.
        Some("LOCAL" | "TRANSACTION" | "CONSTRAINTS") => Plan::Run(Access::Write),
        Some("SESSION") if contains(tokens, &["SESSION", "CHARACTERISTICS"]) => REJECTED,
        Some("SESSION") => set_value(&tokens[1..]),
        Some("TIME") if contains(tokens, &["TIME", "ZONE"]) => {
            set_named(Setting::TimeZone, &tokens[2..])
        }
        Some("NAMES") => set_named(Setting::ClientEncoding, &tokens[1..]),
        _ => set_value(tokens),
    }
}

fn set_value(tokens: &[Token]) -> Plan {
    let Some(setting) = setting(tokens) else {
        return REJECTED;
    };
    let assigns =
        tokens.get(1) == Some(&Token::Eq) || keyword(tokens, 1).is_some_and(|word| word == "TO");
    if assigns {
        set_named(setting, &tokens[2..])
    } else {
        REJECTED
    }
}

fn setting(tokens: &[Token]) -> Option<Setting> {
    match tokens.first()? {
        Token::Word(word) => word.value.parse().ok(),
        _ => None,
    }
}

fn set_named(setting: Setting, value: &[Token]) -> Plan {
    if value.len() == 1 && keyword(value, 0).is_some_and(|word| word == "DEFAULT") {
        return Plan::Change(vec![SessionChange::Reset(setting)]);
    }
    match value_text(value) {
        Some(text) if setting.accepts(&text) => {
            let value = setting.normalized(&text).to_owned();
            Plan::Change(vec![SessionChange::Set(setting, value)])
        }
        _ => REJECTED,
    }
}

fn value_text(tokens: &[Token]) -> Option<String> {
    let mut text = String::new();
    for token in tokens {
        match token {
            Token::SingleQuotedString(value) | Token::Number(value, _) => text.push_str(value),
            Token::Word(word) => text.push_str(&word.value),
            Token::Minus => text.push('-'),
            Token::Plus => text.push('+'),
            Token::Comma => text.push_str(", "),
            _ => return None,
        }
    }
    (!tokens.is_empty()).then_some(text)
}

fn reset(tokens: &[Token]) -> Plan {
    let change = match keyword(tokens, 0).as_deref() {
        Some("ALL") => SessionChange::ResetAll,
        Some("TIME") => SessionChange::Reset(Setting::TimeZone),
        _ => match setting(tokens) {
            Some(setting) => SessionChange::Reset(setting),
            None => return REJECTED,
        },
    };
    Plan::Change(vec![change])
}

fn discard(tokens: &[Token]) -> Plan {
    match keyword(tokens, 0).as_deref() {
        Some("ALL") => Plan::Change(vec![SessionChange::DiscardAll]),
        _ => REJECTED,
    }
}

fn deallocate(tokens: &[Token]) -> Plan {
    let named = match keyword(tokens, 0).as_deref() {
        Some("PREPARE") => &tokens[1..],
        _ => tokens,
    };
    let change = match named.first() {
        Some(Token::Word(word)) if word.quote_style.is_some() => {
            SessionChange::Deallocate(word.value.clone())
        }
        Some(Token::Word(word)) if word.value.eq_ignore_ascii_case("ALL") => {
            SessionChange::DeallocateAll
        }
        Some(Token::Word(word)) => SessionChange::Deallocate(word.value.to_ascii_lowercase()),
        _ => return REJECTED,
    };
    Plan::Change(vec![change])
}
