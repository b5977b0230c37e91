//! Operators' policy: a small typed expression language for choices that break no rule.
//!
//! A policy is a list of `setting = expression`. Expressions have numbers, booleans and strings,
//! `+ - * /`, comparisons, `and`, `or`, `not`, `if … then … else …`, and fields of what the setting
//! is about, such as `job.slack_s`. There are no loops, so every evaluation ends. Results are held
//! to each setting's bounds after evaluation, whatever the expression yields.

use std::fmt;

use winnow::ascii::{digit1, multispace1, till_line_ending};
use winnow::combinator::{alt, cut_err, delimited, eof, not, opt, preceded, repeat, terminated};
use winnow::error::{StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{one_of, take_while};

/// The policy that holds when no file says otherwise.
const BUILT_IN: &str = include_str!("../policy/default.policy");

#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Type {
    Number,
    Bool,
    Text,
}

/// A value that an expression works with.
#[derive(Clone, Copy, PartialEq, Debug)]
pub enum Value<'a> {
    Number(f64),
    Bool(bool),
    Text(&'a str),
}

impl Value<'_> {
    fn number(self) -> f64 {
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

/// What a setting is evaluated for.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Scope {
    Job,
    Machine,
    Cluster,
}

type Fields = &'static [(&'static str, Type, Value<'static>)];

/// Fields of a job, each with a sample.
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

/// Fields of a machine, each with a sample.
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

/// A choice that an operator may own.
#[derive(Clone, Copy, PartialEq, Eq, Debug)]
pub enum Setting {
    QueueWeight,
    PlanSlack,
    Patience,
    UseSpot,
    Idle,
    Grant,
    BlockChunk,
    DecideSteps,
    QueueShare,
    Blocks,
    Halts,
}

struct Rule {
    setting: Setting,
    name: &'static str,
    scope: Scope,
    kind: Type,
    min: f64,
    max: f64,
}

const fn rule(
    setting: Setting,
    name: &'static str,
    scope: Scope,
    kind: Type,
    min: f64,
    max: f64,
) -> Rule {
    Rule {
        setting,
        name,
        scope,
        kind,
        min,
        max,
    }
}

/// Every setting, in the order of [`Setting`].
const RULES: [Rule; 11] = [
    rule(
        Setting::QueueWeight,
        "queue_weight",
        Scope::Job,
        Type::Number,
        -1e9,
        1e9,
    ),
    rule(
        Setting::PlanSlack,
        "plan_slack",
        Scope::Job,
        Type::Number,
        0.0,
        1.0,
    ),
    rule(
        Setting::Patience,
        "patience_s",
        Scope::Job,
        Type::Number,
        0.0,
        3600.0,
    ),
    rule(
        Setting::UseSpot,
        "use_spot",
        Scope::Job,
        Type::Bool,
        0.0,
        1.0,
    ),
    rule(
        Setting::Idle,
        "idle_s",
        Scope::Machine,
        Type::Number,
        0.0,
        3600.0,
    ),
    rule(
        Setting::Grant,
        "grant_s",
        Scope::Cluster,
        Type::Number,
        2.0,
        10.0,
    ),
    rule(
        Setting::BlockChunk,
        "block_chunk",
        Scope::Cluster,
        Type::Number,
        4.0,
        200.0,
    ),
    rule(
        Setting::DecideSteps,
        "decide_steps",
        Scope::Cluster,
        Type::Number,
        1e3,
        1e7,
    ),
    rule(
        Setting::QueueShare,
        "queue_share",
        Scope::Job,
        Type::Number,
        0.0,
        1e6,
    ),
    rule(
        Setting::Blocks,
        "blocks",
        Scope::Cluster,
        Type::Number,
        1.0,
        64.0,
    ),
    rule(
        Setting::Halts,
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
    More,
    MoreOrEqual,
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
    /// Before checking a name; afterwards its place among the scope's fields.
    Name(String, usize),
    Field(usize),
    Not(Box<Expr>, usize),
    Negate(Box<Expr>, usize),
    Binary(Op, Box<(Expr, Expr)>, usize),
    If(Box<(Expr, Expr, Expr)>, usize),
}

/// Why a policy cannot be used, and where.
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

fn space(i: &mut Input<'_>) -> ModalResult<()> {
    repeat(
        0..,
        alt((multispace1.void(), ('#', till_line_ending).void())),
    )
    .parse_next(i)
}

fn expected(what: &'static str) -> StrContext {
    StrContext::Expected(StrContextValue::Description(what))
}

fn symbol<'a>(s: &'static str) -> impl ModalParser<Input<'a>, (), winnow::error::ContextError> {
    terminated(s, space).void()
}

fn word<'a>(i: &mut Input<'a>) -> ModalResult<&'a str> {
    let letter = |c: char| c.is_ascii_alphanumeric() || c == '_' || c == '.';
    let start = one_of(|c: char| c.is_ascii_alphabetic() || c == '_');
    terminated((start, take_while(0.., letter)).take(), space).parse_next(i)
}

fn keyword<'a>(k: &'static str) -> impl ModalParser<Input<'a>, (), winnow::error::ContextError> {
    word.verify(move |w: &str| w == k).void()
}

fn number(i: &mut Input<'_>) -> ModalResult<Expr> {
    let digits = (digit1, opt(('.', digit1)))
        .take()
        .try_map(|s: &str| s.parse::<f64>());
    terminated(digits, space).map(Expr::Number).parse_next(i)
}

fn text(i: &mut Input<'_>) -> ModalResult<Expr> {
    let inner = take_while(0.., |c: char| c != '"' && c != '\n');
    let quoted = delimited(
        '"',
        inner,
        cut_err('"').context(expected("a closing quote")),
    );
    terminated(quoted, space)
        .map(|s: &str| Expr::Text(s.to_string()))
        .parse_next(i)
}

const KEYWORDS: [&str; 8] = ["if", "then", "else", "and", "or", "not", "true", "false"];

fn primary(i: &mut Input<'_>) -> ModalResult<Expr> {
    let at = i.current_token_start();
    let name = word
        .verify(|w: &str| !KEYWORDS.contains(&w))
        .map(move |w: &str| Expr::Name(w.to_string(), at));
    let choice = preceded(
        keyword("if"),
        cut_err((
            expression,
            preceded(keyword("then").context(expected("then")), expression),
            preceded(keyword("else").context(expected("else")), expression),
        )),
    )
    .map(move |c| Expr::If(Box::new(c), at));
    alt((
        number,
        text,
        keyword("true").value(Expr::Bool(true)),
        keyword("false").value(Expr::Bool(false)),
        choice,
        delimited(
            symbol("("),
            cut_err(expression),
            cut_err(symbol(")")).context(expected(")")),
        ),
        preceded(symbol("-"), cut_err(primary)).map(move |e| Expr::Negate(Box::new(e), at)),
        preceded(keyword("not"), cut_err(primary)).map(move |e| Expr::Not(Box::new(e), at)),
        name,
    ))
    .context(expected("a value"))
    .parse_next(i)
}

/// One level of binary operators, which bind to the left.
fn level<'a>(
    i: &mut Input<'a>,
    operand: fn(&mut Input<'a>) -> ModalResult<Expr>,
    operator: fn(&mut Input<'a>) -> ModalResult<Op>,
) -> ModalResult<Expr> {
    let mut left = operand(i)?;
    loop {
        let at = i.current_token_start();
        let Some(op) = opt(operator).parse_next(i)? else {
            return Ok(left);
        };
        let right = cut_err(operand).parse_next(i)?;
        left = Expr::Binary(op, Box::new((left, right)), at);
    }
}

fn product(i: &mut Input<'_>) -> ModalResult<Expr> {
    level(i, primary, |i| {
        alt((
            symbol("*").value(Op::Multiply),
            symbol("/").value(Op::Divide),
        ))
        .parse_next(i)
    })
}

fn sum(i: &mut Input<'_>) -> ModalResult<Expr> {
    level(i, product, |i| {
        alt((symbol("+").value(Op::Add), symbol("-").value(Op::Subtract))).parse_next(i)
    })
}

fn comparison(i: &mut Input<'_>) -> ModalResult<Expr> {
    level(i, sum, |i| {
        alt((
            symbol("==").value(Op::Equal),
            symbol("!=").value(Op::NotEqual),
            symbol("<=").value(Op::LessOrEqual),
            symbol(">=").value(Op::MoreOrEqual),
            symbol("<").value(Op::Less),
            symbol(">").value(Op::More),
        ))
        .parse_next(i)
    })
}

fn conjunction(i: &mut Input<'_>) -> ModalResult<Expr> {
    level(i, comparison, |i| {
        keyword("and").value(Op::And).parse_next(i)
    })
}

fn expression(i: &mut Input<'_>) -> ModalResult<Expr> {
    level(i, conjunction, |i| {
        keyword("or").value(Op::Or).parse_next(i)
    })
}

fn statement(i: &mut Input<'_>) -> ModalResult<(String, usize, Expr)> {
    let at = i.current_token_start();
    let name = word.context(expected("a setting's name")).parse_next(i)?;
    let equals = terminated(('=', not('=')), space).context(expected("="));
    let value = cut_err(preceded(equals, expression)).parse_next(i)?;
    Ok((name.to_string(), at, value))
}

fn parse(text: &str) -> Result<Vec<(String, usize, Expr)>, PolicyError> {
    let nested = text.matches(['(', '-']).count() + text.matches("if").count();
    if text.len() > 64 * 1024 || nested > 2000 {
        return Err(error_at(text, 0, "the policy is too large"));
    }
    let statements = repeat(0.., statement);
    delimited(space, statements, eof)
        .parse(LocatingSlice::new(text))
        .map_err(|e| error_at(text, e.offset(), e.inner().to_string().replace('\n', "; ")))
}

// ---- Checking ----

struct Checker<'a> {
    text: &'a str,
    fields: Fields,
}

impl Checker<'_> {
    /// Finds an expression's type and resolves its names.
    fn check(&self, e: &mut Expr) -> Result<Type, PolicyError> {
        let fail = |at: usize, reason: String| Err(error_at(self.text, at, reason));
        match e {
            Expr::Number(_) => Ok(Type::Number),
            Expr::Bool(_) => Ok(Type::Bool),
            Expr::Text(_) => Ok(Type::Text),
            Expr::Field(i) => Ok(self.fields[*i].1),
            Expr::Name(name, at) => {
                let Some(i) = self.fields.iter().position(|f| f.0 == name) else {
                    let names: Vec<_> = self.fields.iter().map(|f| f.0).collect();
                    let known = if names.is_empty() {
                        "none".into()
                    } else {
                        names.join(", ")
                    };
                    return fail(*at, format!("unknown name {name:?}; known here: {known}"));
                };
                *e = Expr::Field(i);
                Ok(self.fields[i].1)
            }
            Expr::Not(inner, at) => self.need(inner, Type::Bool, *at),
            Expr::Negate(inner, at) => self.need(inner, Type::Number, *at),
            Expr::If(parts, at) => {
                let (c, a, b) = &mut **parts;
                self.need(c, Type::Bool, *at)?;
                let kind = self.check(a)?;
                self.need(b, kind, *at)
            }
            Expr::Binary(op, sides, at) => {
                let (l, r) = &mut **sides;
                match op {
                    Op::Or | Op::And => {
                        self.need(l, Type::Bool, *at)?;
                        self.need(r, Type::Bool, *at)
                    }
                    Op::Equal | Op::NotEqual => {
                        let kind = self.check(l)?;
                        self.need(r, kind, *at)?;
                        Ok(Type::Bool)
                    }
                    Op::Less | Op::LessOrEqual | Op::More | Op::MoreOrEqual => {
                        self.need(l, Type::Number, *at)?;
                        self.need(r, Type::Number, *at)?;
                        Ok(Type::Bool)
                    }
                    Op::Add | Op::Subtract | Op::Multiply | Op::Divide => {
                        self.need(l, Type::Number, *at)?;
                        self.need(r, Type::Number, *at)
                    }
                }
            }
        }
    }

    fn need(&self, e: &mut Expr, kind: Type, at: usize) -> Result<Type, PolicyError> {
        let found = self.check(e)?;
        if found == kind {
            return Ok(kind);
        }
        let name = |t| match t {
            Type::Number => "a number",
            Type::Bool => "true or false",
            Type::Text => "a string",
        };
        let reason = format!("{} is needed here, not {}", name(kind), name(found));
        Err(error_at(self.text, at, reason))
    }
}

// ---- Evaluation ----

fn evaluate<'a>(e: &'a Expr, fields: &[Value<'a>]) -> Value<'a> {
    match e {
        Expr::Number(x) => Value::Number(*x),
        Expr::Bool(b) => Value::Bool(*b),
        Expr::Text(s) => Value::Text(s),
        Expr::Field(i) => fields.get(*i).copied().unwrap_or(Value::Number(f64::NAN)),
        // The checker has resolved every name.
        Expr::Name(..) => Value::Number(f64::NAN),
        Expr::Not(inner, _) => Value::Bool(!evaluate(inner, fields).truth()),
        Expr::Negate(inner, _) => Value::Number(-evaluate(inner, fields).number()),
        Expr::If(parts, _) => {
            let chosen = if evaluate(&parts.0, fields).truth() {
                &parts.1
            } else {
                &parts.2
            };
            evaluate(chosen, fields)
        }
        Expr::Binary(op, sides, _) => {
            let l = evaluate(&sides.0, fields);
            match op {
                Op::Or => return Value::Bool(l.truth() || evaluate(&sides.1, fields).truth()),
                Op::And => return Value::Bool(l.truth() && evaluate(&sides.1, fields).truth()),
                _ => {}
            }
            let r = evaluate(&sides.1, fields);
            let (x, y) = (l.number(), r.number());
            match op {
                Op::Equal => Value::Bool(l == r),
                Op::NotEqual => Value::Bool(l != r),
                Op::Less => Value::Bool(x < y),
                Op::LessOrEqual => Value::Bool(x <= y),
                Op::More => Value::Bool(x > y),
                Op::MoreOrEqual => Value::Bool(x >= y),
                Op::Add => Value::Number(x + y),
                Op::Subtract => Value::Number(x - y),
                Op::Multiply => Value::Number(x * y),
                _ => Value::Number(x / y),
            }
        }
    }
}

/// A checked policy: an expression for every setting.
#[derive(Clone, Debug)]
pub struct Policy {
    settings: Vec<Option<Expr>>,
}

impl Default for Policy {
    fn default() -> Policy {
        let empty = Policy {
            settings: vec![None; RULES.len()],
        };
        Policy::read(BUILT_IN, empty).expect("the built-in policy is covered by tests")
    }
}

impl Policy {
    /// Reads and checks a policy. Settings it does not name keep the built-in expressions.
    pub fn parse(text: &str) -> Result<Policy, PolicyError> {
        Policy::read(text, Policy::default())
    }

    /// This policy with the settings that another text names in the place of its own.
    pub fn overlaid(&self, text: &str) -> Result<Policy, PolicyError> {
        Policy::read(text, self.clone())
    }

    /// The settings that a text names; none of a text that is no policy.
    pub fn named(text: &str) -> Vec<String> {
        parse(text).map_or_else(
            |_| Vec::new(),
            |list| list.into_iter().map(|s| s.0).collect(),
        )
    }

    fn read(text: &str, mut policy: Policy) -> Result<Policy, PolicyError> {
        let mut seen: Vec<String> = Vec::new();
        for (name, at, mut value) in parse(text)? {
            let Some(i) = RULES.iter().position(|r| r.name == name) else {
                return Err(error_at(text, at, format!("unknown setting {name:?}")));
            };
            if seen.contains(&name) {
                return Err(error_at(text, at, format!("{name:?} is set twice")));
            }
            let rule = &RULES[i];
            let checker = Checker {
                text,
                fields: rule.scope.fields(),
            };
            checker.need(&mut value, rule.kind, at)?;
            if rule.kind == Type::Number {
                let sample: Vec<Value<'_>> = checker.fields.iter().map(|f| f.2).collect();
                let x = evaluate(&value, &sample).number();
                if !(rule.min..=rule.max).contains(&x) {
                    let (min, max) = (rule.min, rule.max);
                    let reason = format!("{name} is {x} on the sample, not within {min} to {max}");
                    return Err(error_at(text, at, reason));
                }
            }
            policy.settings[i] = Some(value);
            seen.push(name);
        }
        Ok(policy)
    }

    /// A number, within the setting's bounds whatever the expression yields.
    pub fn number(&self, setting: Setting, fields: &[Value<'_>]) -> f64 {
        let rule = &RULES[setting as usize];
        let x = self.settings[setting as usize]
            .as_ref()
            .map(|e| evaluate(e, fields).number());
        match x {
            Some(x) if !x.is_nan() => x.clamp(rule.min, rule.max),
            _ => rule.max,
        }
    }

    pub fn truth(&self, setting: Setting, fields: &[Value<'_>]) -> bool {
        self.settings[setting as usize]
            .as_ref()
            .is_some_and(|e| evaluate(e, fields).truth())
    }

    /// Each setting's result on the sample job and machine.
    pub fn on_sample(&self) -> Vec<(&'static str, String)> {
        RULES
            .iter()
            .map(|r| {
                let sample: Vec<Value<'_>> = r.scope.fields().iter().map(|f| f.2).collect();
                let result = match r.kind {
                    Type::Bool => Value::Bool(self.truth(r.setting, &sample)),
                    _ => Value::Number(self.number(r.setting, &sample)),
                };
                (r.name, result.to_string())
            })
            .collect()
    }
}

#[cfg(test)]
mod tests;
