//! Charged attempts as tables for other programs: a row each, in the order of the ledger.

use std::io::Write;
use std::sync::Arc;

use parquet::basic::Compression;
use parquet::data_type::{BoolType, ByteArray, ByteArrayType, Int64Type};
use parquet::file::properties::WriterProperties;
use parquet::file::writer::SerializedFileWriter;
use parquet::schema::parser::parse_message_type;

use crate::audit::Page;
use crate::line::LineBody;
use crate::meter::STAGES;

/// Why a table could not be written.
#[derive(Debug, thiserror::Error)]
pub enum ExportError {
    #[error("page {0} of the ledger cannot be read")]
    Page(u64),
    #[error("{0}")]
    Csv(#[from] csv::Error),
    #[error("{0}")]
    Parquet(#[from] parquet::errors::ParquetError),
    #[error("{0}")]
    File(#[from] std::io::Error),
}

/// A value of a row. Times are microseconds, amounts thousandths, prices millionths an hour.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    Int(i64),
    Text(String),
    Flag(bool),
}

#[derive(Clone, Copy, PartialEq)]
enum Kind {
    Int,
    Text,
    Flag,
}

/// The columns, in order.
const COLUMNS: [(&str, Kind); 27] = [
    ("page", Kind::Int),
    ("line", Kind::Int),
    ("team", Kind::Text),
    ("class", Kind::Text),
    ("job", Kind::Text),
    ("task", Kind::Int),
    ("attempt", Kind::Int),
    ("machine", Kind::Text),
    ("type", Kind::Text),
    ("zone", Kind::Text),
    ("spot", Kind::Flag),
    ("price", Kind::Int),
    ("reason", Kind::Text),
    ("worth", Kind::Text),
    ("cpu", Kind::Int),
    ("gpu", Kind::Int),
    ("mem", Kind::Int),
    ("begin", Kind::Int),
    ("end", Kind::Int),
    (STAGES[0], Kind::Int),
    (STAGES[1], Kind::Int),
    (STAGES[2], Kind::Int),
    (STAGES[3], Kind::Int),
    (STAGES[4], Kind::Int),
    (STAGES[5], Kind::Int),
    ("bound", Kind::Int),
    ("estimate", Kind::Flag),
];

/// The columns' names, in order.
pub fn names() -> impl Iterator<Item = &'static str> {
    COLUMNS.iter().map(|c| c.0)
}

/// A name as it is written in lines.
fn name(value: &impl serde::Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

/// The rows of some pages; of one team, if it is named.
pub fn rows(pages: &[Page], team: Option<&str>) -> Result<Vec<Vec<Cell>>, ExportError> {
    let int = |x: u64| Cell::Int(i64::try_from(x).unwrap_or(i64::MAX));
    let mut rows = Vec::new();
    for page in pages {
        for (line, _) in page.read().map_err(|_| ExportError::Page(page.page))? {
            let LineBody::Charge(c) = line.body else {
                continue;
            };
            let k = &c.group;
            if team.is_some_and(|t| t != k.team) {
                continue;
            }
            for e in &c.entries {
                let text = |t: &String| Cell::Text(t.clone());
                let mut row = vec![
                    int(page.page),
                    int(line.number),
                    text(&k.team),
                    text(&k.class),
                    text(&k.job),
                    int(u64::from(e.task)),
                    int(e.attempt),
                    text(&e.machine),
                    text(&k.machine_type),
                    text(&k.zone),
                    Cell::Flag(k.spot),
                    int(k.price),
                    Cell::Text(name(&k.reason)),
                    Cell::Text(name(&k.usefulness)),
                    int(k.resources.0),
                    int(k.resources.1),
                    int(k.resources.2),
                    int(e.begin),
                    int(e.end()),
                ];
                row.extend(e.stage_times.0.iter().map(|t| int(*t)));
                row.extend([int(e.max_error), Cell::Flag(e.is_estimate)]);
                rows.push(row);
            }
        }
    }
    Ok(rows)
}

/// Writes rows as CSV, with the columns' names first.
pub fn csv(rows: &[Vec<Cell>], out: impl Write) -> Result<(), ExportError> {
    let mut writer = csv::Writer::from_writer(out);
    writer.write_record(names())?;
    for row in rows {
        writer.write_record(row.iter().map(|cell| match cell {
            Cell::Int(x) => x.to_string(),
            Cell::Text(t) => t.clone(),
            Cell::Flag(f) => f.to_string(),
        }))?;
    }
    writer.flush()?;
    Ok(())
}

/// Writes rows as Parquet.
pub fn parquet(rows: &[Vec<Cell>], out: impl Write + Send) -> Result<(), ExportError> {
    let field = |(name, kind): (&str, Kind)| match kind {
        Kind::Int => format!("REQUIRED INT64 {name};"),
        Kind::Text => format!("REQUIRED BYTE_ARRAY {name} (UTF8);"),
        Kind::Flag => format!("REQUIRED BOOLEAN {name};"),
    };
    let fields: String = COLUMNS.into_iter().map(field).collect();
    let schema = Arc::new(parse_message_type(&format!(
        "message charges {{ {fields} }}"
    ))?);
    let properties = WriterProperties::builder()
        .set_compression(Compression::SNAPPY)
        .build();
    let mut writer = SerializedFileWriter::new(out, schema, Arc::new(properties))?;
    let mut group = writer.next_row_group()?;
    for (i, (_, kind)) in COLUMNS.into_iter().enumerate() {
        let Some(mut column) = group.next_column()? else {
            break;
        };
        let cells = rows.iter().filter_map(|r| r.get(i));
        match kind {
            Kind::Int => {
                let int = |c: &Cell| if let Cell::Int(x) = c { *x } else { 0 };
                let values: Vec<i64> = cells.map(int).collect();
                column
                    .typed::<Int64Type>()
                    .write_batch(&values, None, None)?;
            }
            Kind::Text => {
                let text = |c: &Cell| {
                    if let Cell::Text(t) = c {
                        t.as_str()
                    } else {
                        ""
                    }
                    .into()
                };
                let values: Vec<ByteArray> = cells.map(text).collect();
                column
                    .typed::<ByteArrayType>()
                    .write_batch(&values, None, None)?;
            }
            Kind::Flag => {
                let values: Vec<bool> = cells.map(|c| *c == Cell::Flag(true)).collect();
                column
                    .typed::<BoolType>()
                    .write_batch(&values, None, None)?;
            }
        }
        column.close()?;
    }
    group.close()?;
    writer.close()?;
    Ok(())
}

#[cfg(test)]
mod tests;
