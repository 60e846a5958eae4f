//! Shell completion scripts, generated from the verbs of the command line.

use strum::VariantNames;

use crate::app::{DatabaseVerb, KeyVerb, PresetVerb, RecordVerb, Shell, WorkspaceVerb};

/// Returns the completion script for a shell; zsh loads the one of bash through `bashcompinit`.
pub(crate) fn script(shell: Shell) -> String {
    let bash = bash();
    match shell {
        Shell::Bash => bash,
        Shell::Zsh => format!("autoload -U +X bashcompinit && bashcompinit\n{bash}"),
    }
}

fn bash() -> String {
    let subjects = [
        ("workspace", WorkspaceVerb::VARIANTS),
        ("key", KeyVerb::VARIANTS),
        ("preset", PresetVerb::VARIANTS),
        ("route", RecordVerb::VARIANTS),
        ("database", DatabaseVerb::VARIANTS),
        ("completion", Shell::VARIANTS),
    ];
    let names: Vec<_> = subjects.iter().map(|(name, _)| *name).collect();
    let case =
        |(name, verbs): &(&str, &[&str])| format!("    {name}) words=\"{}\" ;;\n", verbs.join(" "));
    let cases: String = subjects.iter().map(case).collect();
    format!(
        "_currantctl() {{\n  local words\n  case \"${{COMP_WORDS[COMP_CWORD-1]}}\" in\n{cases}    \
         *) words=\"status vms {}\" ;;\n  esac\n  \
         COMPREPLY=($(compgen -W \"$words\" -- \"${{COMP_WORDS[COMP_CWORD]}}\"))\n}}\n\
         complete -F _currantctl currantctl\n",
        names.join(" ")
    )
}
