//! Operators' policy: a small typed expression language for settings that operators may choose without breaking any
//! scheduling rule.
//!
//! A policy is a list of `setting = expression`. Expressions have numbers, booleans and strings, `+ - * /`,
//! comparisons, `and`, `or`, `not`, `if … then … else …`, and fields of the setting's [scope](Scope), such as
//! `job.slack_s`. The language has no loops, so every evaluation ends. After evaluation, a number is clamped to the
//! bounds of its setting, whatever the expression yields.

use std::fmt;

use winnow::ascii::{digit1, multispace1, till_line_ending};
use winnow::combinator::{alt, cut_err, delimited, eof, not, opt, preceded, repeat, terminated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_while};

/// The policy for all settings that no policy file names.
const BUILT_IN_POLICY: &str = include_str!("../policy/default.policy");

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Type {
    Number,
    Bool,
    Text,
}

/// A value in an expression.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Value<'a> {
    Number(f64),
    Bool(bool),
    Text(&'a str),
}

impl Value<'_> {
    fn number_or_nan(self) -> f64 {
        match self {
            Value::Number(x) => x,
            _ => f64::NAN,
        }
    }

    fn truth(self) -> bool {
        self == Value::Bool(true)
    }
}

impl fmt::Display for Value<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Value::Number(x) => write!(f, "{x}"),
            Value::Bool(b) => write!(f, "{b}"),
            Value::Text(s) => write!(f, "{s:?}"),
        }
    }
}

/// The kind of object that a setting is evaluated for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scope {
    Job,
    Machine,
    Cluster,
}

type Fields = &'static [(&'static str, Type, Value<'static>)];

/// Fields of a job, each with its type and a sample value.
pub const JOB_FIELDS: Fields = &[
    ("job.class", Type::Text, Value::Text("nightly")),
    ("job.team", Type::Text, Value::Text("red")),
    ("job.priority", Type::Text, Value::Text("normal")),
    ("job.tasks", Type::Number, Value::Number(20.0)),
    ("job.done", Type::Number, Value::Number(5.0)),
    ("job.cpus", Type::Number, Value::Number(2.0)),
    ("job.age_s", Type::Number, Value::Number(30.0)),
    ("job.slack_s", Type::Number, Value::Number(90.0)),
    ("job.work_s", Type::Number, Value::Number(15.0)),
    ("job.run_s", Type::Number, Value::Number(40.0)),
    ("job.late", Type::Bool, Value::Bool(false)),
    ("job.in_guarantee", Type::Bool, Value::Bool(true)),
    ("job.share", Type::Number, Value::Number(0.3)),
    ("job.over_share", Type::Number, Value::Number(1.2)),
];

/// Fields of a machine, each with its type and a sample value.
pub const MACHINE_FIELDS: Fields = &[
    ("machine.type", Type::Text, Value::Text("small")),
    ("machine.zone", Type::Text, Value::Text("a")),
    ("machine.spot", Type::Bool, Value::Bool(false)),
    ("machine.cpus", Type::Number, Value::Number(4.0)),
    ("machine.price", Type::Number, Value::Number(0.2)),
    ("machine.boot_s", Type::Number, Value::Number(30.0)),
    ("machine.urgent_ago_s", Type::Number, Value::Number(600.0)),
    ("machine.spares", Type::Number, Value::Number(1.0)),
];

impl Scope {
    fn fields(self) -> Fields {
        match self {
            Scope::Job => JOB_FIELDS,
            Scope::Machine => MACHINE_FIELDS,
            Scope::Cluster => &[],
        }
    }
}

/// A setting that an operator's policy may define.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Setting {
    QueueWeight,
    PlanSlack,
    Patience,
    UseSpot,
    MaxIdleTime,
    LeaseDuration,
    ShardChunkSize,
    SchedulingStepRate,
    QueueShare,
    ShardCount,
    KillOrderRate,
}

struct SettingSpec {
    setting: Setting,
    name: &'static str,
    scope: Scope,
    kind: Type,
    min: f64,
    max: f64,
}

const fn setting_spec(
    setting: Setting,
    name: &'static str,
    scope: Scope,
    kind: Type,
    min: f64,
    max: f64,
) -> SettingSpec {
    SettingSpec {
        setting,
        name,
        scope,
        kind,
        min,
        max,
    }
}

/// The definitions of all settings, in the order of [`Setting`].
const SETTING_SPECS: [SettingSpec; 11] = [
    setting_spec(
        Setting::QueueWeight,
        "queue_weight",
        Scope::Job,
        Type::Number,
        -1e9,
        1e9,
    ),
    setting_spec(
        Setting::PlanSlack,
        "plan_slack",
        Scope::Job,
        Type::Number,
        0.0,
        1.0,
    ),
    setting_spec(
        Setting::Patience,
        "patience_s",
        Scope::Job,
        Type::Number,
        0.0,
        3600.0,
    ),
    setting_spec(
        Setting::UseSpot,
        "use_spot",
        Scope::Job,
        Type::Bool,
        0.0,
        1.0,
    ),
    setting_spec(
        Setting::MaxIdleTime,
        "idle_s",
        Scope::Machine,
        Type::Number,
        0.0,
        3600.0,
    ),
    setting_spec(
        Setting::LeaseDuration,
        "grant_s",
        Scope::Cluster,
        Type::Number,
        2.0,
        10.0,
    ),
    setting_spec(
        Setting::ShardChunkSize,
        "block_chunk",
        Scope::Cluster,
        Type::Number,
        4.0,
        200.0,
    ),
    setting_spec(
        Setting::SchedulingStepRate,
        "decide_steps",
        Scope::Cluster,
        Type::Number,
        1e3,
        1e7,
    ),
    setting_spec(
        Setting::QueueShare,
        "queue_share",
        Scope::Job,
        Type::Number,
        0.0,
        1e6,
    ),
    setting_spec(
        Setting::ShardCount,
        "blocks",
        Scope::Cluster,
        Type::Number,
        1.0,
        64.0,
    ),
    setting_spec(
        Setting::KillOrderRate,
        "halts_per_s",
        Scope::Cluster,
        Type::Number,
        0.0,
        1e4,
    ),
];

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
enum Op {
    Or,
    And,
    Equal,
    NotEqual,
    Less,
    LessOrEqual,
    Greater,
    GreaterOrEqual,
    Add,
    Subtract,
    Multiply,
    Divide,
}

#[derive(Clone, PartialEq, Debug)]
enum Expr {
    Number(f64),
    Bool(bool),
    Text(String),
    /// A name that the checker has not resolved yet, and its offset in the text. The checker replaces it by a `Field`.
    Name(String, usize),
    /// A field, as an index into the fields of the scope.
    Field(usize),
    Not(Box<Expr>, usize),
    Negate(Box<Expr>, usize),
    Binary(Op, Box<(Expr, Expr)>, usize),
    If(Box<(Expr, Expr, Expr)>, usize),
}

/// An error in a policy, with its position in the text.
#[derive(Debug, PartialEq, thiserror::Error)]
#[error("line {line}, column {column}: {reason}")]
pub struct PolicyError {
    pub line: usize,
    pub column: usize,
    pub reason: String,
}

fn error_at(text: &str, offset: usize, reason: impl Into<String>) -> PolicyError {
    let before = &text[..text.floor_char_boundary(offset.min(text.len()))];
    let line = before.matches('\n').count() + 1;
    let column = before.chars().rev().take_while(|c| *c != '\n').count() + 1;
    PolicyError {
        line,
        column,
        reason: reason.into(),
    }
}

// ---- Parsing ----

type Input<'a> = LocatingSlice<&'a str>;

/// Skips whitespace and comments.
fn whitespace(input: &mut Input<'_>) -> ModalResult<()> {
    repeat(
        0..,
        alt((multispace1.void(), ('#', till_line_ending).void())),
    )
    .parse_next(input)
}

fn expected(description: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(description))
}

fn symbol<'a>(s: &'static str) -> impl ModalParser<Input<'a>, (), winnow::error::ContextError> {
    terminated(s, whitespace).void()
}

fn word<'a>(input: &mut Input<'a>) -> ModalResult<&'a str> {
    let is_name_char = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    let start = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    terminated((start, take_while(0.., is_name_char)).take(), whitespace).parse_next(input)
}

fn keyword<'a>(k: &'static str) -> impl ModalParser<Input<'a>, (), winnow::error::ContextError> {
    word.verify(move |w: &str| w == k).void()
}

fn number_literal(input: &mut Input<'_>) -> ModalResult<Expr> {
    let digits = (digit1, opt(('.', digit1)))
        .take()
        .try_map(|s: &str| s.parse::<f64>());
    terminated(digits, whitespace)
        .map(Expr::Number)
        .parse_next(input)
}

fn string_literal(input: &mut Input<'_>) -> ModalResult<Expr> {
    let inner = take_while(0.., |c: char| c != '"' && c != '\n');
    let quoted = delimited(
        '"',
        inner,
        cut_err('"').context(expected("a closing quote")),
    );
    terminated(quoted, whitespace)
        .map(|s: &str| Expr::Text(s.to_string()))
        .parse_next(input)
}

const KEYWORDS: [&str; 8] = ["if", "then", "else", "and", "or", "not", "true", "false"];

fn primary(input: &mut Input<'_>) -> ModalResult<Expr> {
    let at = input.current_token_start();
    let name = word
        .verify(|w: &str| !KEYWORDS.contains(&w))
        .map(move |w: &str| Expr::Name(w.to_string(), at));
    let conditional = preceded(
        keyword("if"),
        cut_err((
            expression,
            preceded(keyword("then").context(expected("then")), expression),
            preceded(keyword("else").context(expected("else")), expression),
        )),
    )
    .map(move |parts| Expr::If(Box::new(parts), at));
    alt((
        number_literal,
        string_literal,
        keyword("true").value(Expr::Bool(true)),
        keyword("false").value(Expr::Bool(false)),
        conditional,
        delimited(
            symbol("("),
            cut_err(expression),
            cut_err(symbol(")")).context(expected(")")),
        ),
        preceded(symbol("-"), cut_err(primary))
            .map(move |operand| Expr::Negate(Box::new(operand), at)),
        preceded(keyword("not"), cut_err(primary))
            .map(move |operand| Expr::Not(Box::new(operand), at)),
        name,
    ))
    .context(expected("a value"))
    .parse_next(input)
}

/// Parses one precedence level of binary operators, which are left-associative.
fn left_associative<'a>(
    input: &mut Input<'a>,
    operand: fn(&mut Input<'a>) -> ModalResult<Expr>,
    operator: fn(&mut Input<'a>) -> ModalResult<Op>,
) -> ModalResult<Expr> {
    let mut left = operand(input)?;
    loop {
        let at = input.current_token_start();
        let Some(op) = opt(operator).parse_next(input)? else {
            return Ok(left);
        };
        let right = cut_err(operand).parse_next(input)?;
        left = Expr::Binary(op, Box::new((left, right)), at);
    }
}

fn product(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(input, primary, |input| {
        alt((
            symbol("*").value(Op::Multiply),
            symbol("/").value(Op::Divide),
        ))
        .parse_next(input)
    })
}

fn sum(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(input, product, |input| {
        alt((symbol("+").value(Op::Add), symbol("-").value(Op::Subtract))).parse_next(input)
    })
}

fn comparison(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(input, sum, |input| {
        alt((
            symbol("==").value(Op::Equal),
            symbol("!=").value(Op::NotEqual),
            symbol("<=").value(Op::LessOrEqual),
            symbol(">=").value(Op::GreaterOrEqual),
            symbol("<").value(Op::Less),
            symbol(">").value(Op::Greater),
        ))
        .parse_next(input)
    })
}

fn conjunction(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(input, comparison, |input| {
        keyword("and").value(Op::And).parse_next(input)
    })
}

fn expression(input: &mut Input<'_>) -> ModalResult<Expr> {
    left_associative(input, conjunction, |input| {
        keyword("or").value(Op::Or).parse_next(input)
    })
}

fn statement(input: &mut Input<'_>) -> ModalResult<(String, usize, Expr)> {
    let at = input.current_token_start();
    let name = word
        .context(expected("a setting's name"))
        .parse_next(input)?;
    let equals = terminated(('=', not('=')), whitespace).context(expected("="));
    let value = cut_err(preceded(equals, expression)).parse_next(input)?;
    Ok((name.to_string(), at, value))
}

fn parse_statements(text: &str) -> Result<Vec<(String, usize, Expr)>, PolicyError> {
    let max_nesting = text.matches(['(', '-']).count() + text.matches("if").count();
    if text.len() > 64 * 1024 || max_nesting > 2000 {
        return Err(error_at(text, 0, "the policy is too large"));
    }
    let statements = repeat(0.., statement);
    delimited(whitespace, statements, eof)
        .parse(LocatingSlice::new(text))
        .map_err(|e| error_at(text, e.offset(), e.inner().to_string().replace('\n', "; ")))
}

// ---- Checking ----

struct Checker<'a> {
    text: &'a str,
    fields: Fields,
}

impl Checker<'_> {
    /// Determines the type of an expression and resolves its names to fields.
    fn check(&self, expr: &mut Expr) -> Result<Type, PolicyError> {
        let fail = |at: usize, reason: String| Err(error_at(self.text, at, reason));
        match expr {
            Expr::Number(_) => Ok(Type::Number),
            Expr::Bool(_) => Ok(Type::Bool),
            Expr::Text(_) => Ok(Type::Text),
            Expr::Field(index) => Ok(self.fields[*index].1),
            Expr::Name(name, at) => {
                let Some(index) = self.fields.iter().position(|field| field.0 == name) else {
                    let names: Vec<_> = self.fields.iter().map(|field| field.0).collect();
                    let known = if names.is_empty() {
                        "none".into()
                    } else {
                        names.join(", ")
                    };
                    return fail(*at, format!("unknown name {name:?}; known here: {known}"));
                };
                *expr = Expr::Field(index);
                Ok(self.fields[index].1)
            }
            Expr::Not(inner, at) => self.expect_type(inner, Type::Bool, *at),
            Expr::Negate(inner, at) => self.expect_type(inner, Type::Number, *at),
            Expr::If(parts, at) => {
                let (condition, when_true, when_false) = &mut **parts;
                self.expect_type(condition, Type::Bool, *at)?;
                let kind = self.check(when_true)?;
                self.expect_type(when_false, kind, *at)
            }
            Expr::Binary(op, sides, at) => {
                let (left, right) = &mut **sides;
                match op {
                    Op::Or | Op::And => {
                        self.expect_type(left, Type::Bool, *at)?;
                        self.expect_type(right, Type::Bool, *at)
                    }
                    Op::Equal | Op::NotEqual => {
                        let kind = self.check(left)?;
                        self.expect_type(right, kind, *at)?;
                        Ok(Type::Bool)
                    }
                    Op::Less | Op::LessOrEqual | Op::Greater | Op::GreaterOrEqual => {
                        self.expect_type(left, Type::Number, *at)?;
                        self.expect_type(right, Type::Number, *at)?;
                        Ok(Type::Bool)
                    }
                    Op::Add | Op::Subtract | Op::Multiply | Op::Divide => {
                        self.expect_type(left, Type::Number, *at)?;
                        self.expect_type(right, Type::Number, *at)
                    }
                }
            }
        }
    }

    fn expect_type(&self, expr: &mut Expr, kind: Type, at: usize) -> Result<Type, PolicyError> {
        let found = self.check(expr)?;
        if found == kind {
            return Ok(kind);
        }
        let type_name = |kind| match kind {
            Type::Number => "a number",
            Type::Bool => "true or false",
            Type::Text => "a string",
        };
        let reason = format!(
            "{} is needed here, not {}",
            type_name(kind),
            type_name(found)
        );
        Err(error_at(self.text, at, reason))
    }
}

// ---- Evaluation ----

fn evaluate<'a>(expr: &'a Expr, fields: &[Value<'a>]) -> Value<'a> {
    match expr {
        Expr::Number(x) => Value::Number(*x),
        Expr::Bool(b) => Value::Bool(*b),
        Expr::Text(s) => Value::Text(s),
        Expr::Field(index) => fields
            .get(*index)
            .copied()
            .unwrap_or(Value::Number(f64::NAN)),
        // Unreachable: the checker has resolved every name to a field.
        Expr::Name(..) => Value::Number(f64::NAN),
        Expr::Not(inner, _) => Value::Bool(!evaluate(inner, fields).truth()),
        Expr::Negate(inner, _) => Value::Number(-evaluate(inner, fields).number_or_nan()),
        Expr::If(parts, _) => {
            let chosen = if evaluate(&parts.0, fields).truth() {
                &parts.1
            } else {
                &parts.2
            };
            evaluate(chosen, fields)
        }
        Expr::Binary(op, sides, _) => {
            let left = evaluate(&sides.0, fields);
            match op {
                Op::Or => return Value::Bool(left.truth() || evaluate(&sides.1, fields).truth()),
                Op::And => return Value::Bool(left.truth() && evaluate(&sides.1, fields).truth()),
                _ => {}
            }
            let right = evaluate(&sides.1, fields);
            let (x, y) = (left.number_or_nan(), right.number_or_nan());
            match op {
                Op::Equal => Value::Bool(left == right),
                Op::NotEqual => Value::Bool(left != right),
                Op::Less => Value::Bool(x < y),
                Op::LessOrEqual => Value::Bool(x <= y),
                Op::Greater => Value::Bool(x > y),
                Op::GreaterOrEqual => Value::Bool(x >= y),
                Op::Add => Value::Number(x + y),
                Op::Subtract => Value::Number(x - y),
                Op::Multiply => Value::Number(x * y),
                _ => Value::Number(x / y),
            }
        }
    }
}

/// A checked policy, with an expression for every setting.
#[derive(Clone, Debug)]
pub struct Policy {
    settings: Vec<Option<Expr>>,
}

impl Default for Policy {
    fn default() -> Policy {
        let empty = Policy {
            settings: vec![None; SETTING_SPECS.len()],
        };
        Policy::read(BUILT_IN_POLICY, empty).expect("built-in policy parses, as a unit test checks")
    }
}

impl Policy {
    /// Parses and checks a policy. Settings that the policy does not name keep their built-in expressions.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        Policy::read(text, Policy::default())
    }

    /// Returns a copy of this policy in which the settings named in `text` are replaced.
    pub fn with_overrides(&self, text: &str) -> Result<Policy, PolicyError> {
        Policy::read(text, self.clone())
    }

    /// Returns the names of the settings in a policy text, or an empty list if the text cannot be parsed.
    pub fn setting_names(text: &str) -> Vec<String> {
        parse_statements(text).map_or_else(
            |_| Vec::new(),
            |list| list.into_iter().map(|statement| statement.0).collect(),
        )
    }

    fn read(text: &str, mut policy: Policy) -> Result<Policy, PolicyError> {
        let mut seen: Vec<String> = Vec::new();
        for (name, at, mut value) in parse_statements(text)? {
            let Some(index) = SETTING_SPECS.iter().position(|spec| spec.name == name) else {
                return Err(error_at(text, at, format!("unknown setting {name:?}")));
            };
            if seen.contains(&name) {
                return Err(error_at(text, at, format!("{name:?} is set twice")));
            }
            let spec = &SETTING_SPECS[index];
            let checker = Checker {
                text,
                fields: spec.scope.fields(),
            };
            checker.expect_type(&mut value, spec.kind, at)?;
            if spec.kind == Type::Number {
                let sample: Vec<Value<'_>> = checker.fields.iter().map(|field| field.2).collect();
                let x = evaluate(&value, &sample).number_or_nan();
                if !(spec.min..=spec.max).contains(&x) {
                    let (min, max) = (spec.min, spec.max);
                    let reason = format!("{name} is {x} on the sample, not within {min} to {max}");
                    return Err(error_at(text, at, reason));
                }
            }
            policy.settings[index] = Some(value);
            seen.push(name);
        }
        Ok(policy)
    }

    /// Returns the value of a numeric setting, clamped to the setting's bounds whatever the expression yields. If the
    /// result is not a number, the value is the upper bound.
    pub fn number(&self, setting: Setting, fields: &[Value<'_>]) -> f64 {
        let spec = &SETTING_SPECS[setting as usize];
        let x = self.settings[setting as usize]
            .as_ref()
            .map(|expr| evaluate(expr, fields).number_or_nan());
        match x {
            Some(x) if !x.is_nan() => x.clamp(spec.min, spec.max),
            _ => spec.max,
        }
    }

    pub fn truth(&self, setting: Setting, fields: &[Value<'_>]) -> bool {
        self.settings[setting as usize]
            .as_ref()
            .is_some_and(|expr| evaluate(expr, fields).truth())
    }

    /// Returns the name of each setting and its result on the sample job and machine.
    pub fn evaluate_sample(&self) -> Vec<(&'static str, String)> {
        SETTING_SPECS
            .iter()
            .map(|spec| {
                let sample: Vec<Value<'_>> =
                    spec.scope.fields().iter().map(|field| field.2).collect();
                let result = match spec.kind {
                    Type::Bool => Value::Bool(self.truth(spec.setting, &sample)),
                    _ => Value::Number(self.number(spec.setting, &sample)),
                };
                (spec.name, result.to_string())
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
