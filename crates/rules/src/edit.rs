//! Edits of a rule file that keep every other line as its author wrote it.

use crate::error::{Error, Result};
use crate::parse::parse;

/// Returns `text` with the rule of `domain` taken out or put back in, asked for by `asked_by`.
///
/// # Errors
///
/// Fails when the text has a fault, or does not name the domain.
pub fn set_domain(text: &str, domain: &str, out: bool, asked_by: &str) -> Result<String> {
    let rules = parse("rules", text)?;
    let rule = rules.domains.get(domain).ok_or_else(|| Error::no_domain(domain))?;
    let flag = if out { " --out" } else { "" };
    let asked_by = asked_by.replace(['\n', '\r', '#'], " ");
    let new = format!("domain {domain}{flag} # asked by: {}", asked_by.trim());
    let place = rule.line as usize;
    let lines = text.lines().enumerate();
    let lines = lines.map(|(index, line)| if index + 1 == place { new.as_str() } else { line });
    let mut text = lines.collect::<Vec<_>>().join("\n");
    text.push('\n');
    parse("rules", &text)?;
    Ok(text)
}
