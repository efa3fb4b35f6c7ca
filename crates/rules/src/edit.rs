//! Edits of a rule file that leave all other lines unchanged.

use crate::error::{Error, Result};
use crate::parse::parse;

/// Returns `text` with `domain` evacuated (taken out) or put back in, at the request of `asked_by`.
///
/// # Errors
///
/// Fails when the text is invalid or has no rule for the domain.
pub fn set_domain(text: &str, domain: &str, out: bool, asked_by: &str) -> Result<String> {
    let rules = parse("rules", text)?;
    let rule = rules.domains.get(domain).ok_or_else(|| Error::unknown_domain(domain))?;
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
