//! The parser for one line of a rules file. [`Set::parse`](crate::Set::parse) calls
//! it for each line that holds a rule.

use std::time::Duration;

use wisteriaglade_types::Name;

use crate::{Execution, Kind, Length, Method, Methods, Problem, Rule, Template};

/// The shortest deadline. Deadlines are sent to other processes in whole
/// milliseconds.
const MIN_DEADLINE: Duration = Duration::from_millis(1);
/// The longest deadline. Records of `once` requests are kept for 24 h, so a request
/// must not run for longer.
const MAX_DEADLINE: Duration = Duration::from_hours(24);
/// The weights that a rule may set.
const WEIGHT_RANGE: std::ops::RangeInclusive<u32> = 1..=1000;
/// The longest name of a member or pool, in bytes. Names are also sent in headers.
const MAX_NAME_BYTES: usize = 64;

/// The columns of the fields that a comparison with other rules may refuse, counted
/// from 1.
#[derive(Debug)]
pub(crate) struct Columns {
    pub(crate) template: usize,
    pub(crate) weight: usize,
}

/// A word of a line, with its column in characters, counted from 1.
#[derive(Debug, Clone, Copy)]
struct Word<'a> {
    text: &'a str,
    column: usize,
}

/// Parses one line that is neither blank nor a comment. `number` is the line number,
/// counted from 1. Adds every problem of the line to `problems` and returns `None`
/// if there is one.
pub(crate) fn parse(
    number: usize,
    line: &str,
    problems: &mut Vec<Problem>,
) -> Option<(Rule, Columns)> {
    Parser {
        number,
        problems,
        failed: false,
    }
    .rule(line)
}

/// The state of the parser within one line.
struct Parser<'a> {
    number: usize,
    problems: &'a mut Vec<Problem>,
    /// Whether this line has a problem.
    failed: bool,
}

impl Parser<'_> {
    fn rule(&mut self, line: &str) -> Option<(Rule, Columns)> {
        let (body, comment) = match line.split_once('#') {
            Some((body, comment)) => (body, Some(comment)),
            None => (line, None),
        };
        let words = words(body);
        let end = body.trim_end().chars().count() + 1;
        let mut words = words.into_iter();
        let mut next = |parser: &mut Self, expected: &str| {
            let word = words.next();
            // Only the first missing field is reported; all later ones are missing too.
            if word.is_none() && !parser.failed {
                parser.problem(end, expected.into(), "the end of the rule".into());
            }
            word
        };

        let member = next(self, "the member").and_then(|word| self.name(word, "member"));
        let pool = next(self, "the pool").and_then(|word| self.name(word, "pool"));
        let methods = next(self, "the methods").and_then(|word| self.methods(word));
        let path = next(self, "the path template");
        let template = path.and_then(|word| self.template(word));
        let execution = next(self, "\"once\" or \"repeat\"").and_then(|word| self.execution(word));
        let settings = self.settings(words.collect(), end, execution.is_some());
        let origin = self.parse_comment(comment, body.chars().count() + 1);

        if self.failed {
            return None;
        }
        let (asked_by, reason) = origin?;
        let columns = Columns {
            template: path?.column,
            weight: settings.weight?.1,
        };
        let rule = Rule {
            member: member?,
            pool: pool?,
            methods: methods?,
            template: template?,
            execution: execution?,
            deadline: settings.deadline?,
            length: settings.length?,
            weight: settings.weight?.0,
            asked_by,
            reason,
            line: self.number,
        };
        Some((rule, columns))
    }

    /// Reports a problem at a column of the line.
    fn problem(&mut self, column: usize, expected: String, found: String) {
        self.failed = true;
        self.problems.push(Problem {
            kind: Kind::Syntax,
            line: self.number,
            column,
            expected,
            found,
        });
    }

    /// Reports that a word is not what was expected. Always returns `None`.
    fn reject<T>(&mut self, word: Word<'_>, expected: impl Into<String>) -> Option<T> {
        self.problem(word.column, expected.into(), quote(word.text));
        None
    }

    fn name(&mut self, word: Word<'_>, what: &str) -> Option<Name> {
        let valid = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
        if word.text.len() <= MAX_NAME_BYTES && word.text.chars().all(valid) {
            Some(word.text.into())
        } else {
            self.reject(
                word,
                format!(
                    "a {what} of at most {MAX_NAME_BYTES} ASCII letters, digits, \"-\", \"_\" and \".\""
                ),
            )
        }
    }

    fn methods(&mut self, word: Word<'_>) -> Option<Methods> {
        let mut methods = Methods::default();
        let mut column = word.column;
        for text in word.text.split(',') {
            let part = Word { text, column };
            let Some(method) = Method::parse(text) else {
                let all: Methods = Method::ALL.into_iter().collect();
                return self.reject(part, format!("a method out of {all}"));
            };
            if !methods.insert(method) {
                return self.reject(part, "each method once");
            }
            column += text.chars().count() + 1;
        }
        Some(methods)
    }

    fn template(&mut self, word: Word<'_>) -> Option<Template> {
        match Template::parse(word.text) {
            Ok(template) => Some(template),
            Err((offset, expected)) => {
                let (before, text) = word.text.split_at(offset);
                let column = word.column + before.chars().count();
                self.reject(Word { text, column }, expected)
            }
        }
    }

    fn execution(&mut self, word: Word<'_>) -> Option<Execution> {
        match word.text {
            "once" => Some(Execution::Once),
            "repeat" => Some(Execution::Repeat),
            _ => self.reject(word, "\"once\" or \"repeat\""),
        }
    }

    /// Parses the `name=value` settings. `end` is the column after the last word.
    /// Missing settings are reported only if `complete`, that is, if the execution
    /// before them is valid.
    fn settings(&mut self, words: Vec<Word<'_>>, end: usize, complete: bool) -> Settings {
        let mut settings = Settings::default();
        let mut names = Vec::new();
        for word in words {
            let (name, text) = word.text.split_once('=').unwrap_or((word.text, ""));
            let value = Word {
                text,
                column: word.column + name.chars().count() + 1,
            };
            if names.contains(&name) {
                self.reject::<()>(word, format!("\"{name}\" only once"));
                continue;
            }
            match name {
                "deadline" => settings.deadline = self.deadline(value),
                "length" => settings.length = self.length(value),
                "weight" => settings.weight = self.weight(value),
                _ => {
                    self.reject::<()>(word, "\"deadline=\", \"length=\", \"weight=\" or \"#\"");
                    continue;
                }
            }
            names.push(name);
        }
        for name in ["deadline", "length", "weight"] {
            if complete && !names.contains(&name) {
                self.problem(end, format!("\"{name}=\""), "the end of the rule".into());
            }
        }
        settings
    }

    fn deadline(&mut self, word: Word<'_>) -> Option<Duration> {
        match humantime::parse_duration(word.text) {
            Ok(deadline) if (MIN_DEADLINE..=MAX_DEADLINE).contains(&deadline) => Some(deadline),
            _ => self.reject(word, "a deadline from 1ms to 24h such as \"2s\""),
        }
    }

    fn length(&mut self, word: Word<'_>) -> Option<Length> {
        match word.text {
            "short" => Some(Length::Short),
            "long" => Some(Length::Long),
            "learned" => Some(Length::Learned),
            _ => self.reject(word, "\"short\", \"long\" or \"learned\""),
        }
    }

    fn weight(&mut self, word: Word<'_>) -> Option<(u32, usize)> {
        match word.text.parse() {
            Ok(weight) if WEIGHT_RANGE.contains(&weight) => Some((weight, word.column)),
            _ => self.reject(
                word,
                format!(
                    "a weight from {} to {}",
                    WEIGHT_RANGE.start(),
                    WEIGHT_RANGE.end()
                ),
            ),
        }
    }

    /// Parses the comment into the name of the person who asked for the rule, and
    /// the reason. `column` is that of the `#`.
    fn parse_comment(&mut self, comment: Option<&str>, column: usize) -> Option<(Name, Name)> {
        let expected = "a comment \"# asked-by, reason\" that names who asked for the rule";
        let Some(comment) = comment else {
            self.problem(column, expected.into(), "the end of the line".into());
            return None;
        };
        let (name, reason) = comment.split_once(',').unwrap_or((comment, ""));
        let name = name.trim();
        if name.is_empty() {
            let text = comment.trim();
            self.problem(column + 1, expected.into(), quote(text));
            return None;
        }
        Some((name.into(), reason.trim().into()))
    }
}

/// The settings of a rule. A missing or invalid one is `None`.
#[derive(Debug, Default)]
struct Settings {
    deadline: Option<Duration>,
    length: Option<Length>,
    /// The weight and its column.
    weight: Option<(u32, usize)>,
}

/// Splits text at whitespace.
fn words(text: &str) -> Vec<Word<'_>> {
    let mut words = Vec::new();
    let mut start = None;
    for (column, (offset, character)) in text.char_indices().enumerate() {
        match (start, character.is_whitespace()) {
            (None, false) => start = Some((offset, column)),
            (Some((from, first)), true) => {
                words.push(word(&text[from..offset], first));
                start = None;
            }
            _ => {}
        }
    }
    if let Some((from, first)) = start {
        words.push(word(&text[from..], first));
    }
    words
}

/// A word that starts at a character position counted from 0.
fn word(text: &str, index: usize) -> Word<'_> {
    Word {
        text,
        column: index + 1,
    }
}

/// The text in quotes, with control characters escaped.
fn quote(text: &str) -> String {
    format!("{text:?}")
}
