//! Export of charged attempts as CSV and Parquet tables: one row per attempt, in the order of the ledger.

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

/// Reason why a table could not be written.
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

/// Value in one column of a row. Times are in microseconds, resource amounts in thousandths, and prices in millionths
/// per hour.
#[derive(Clone, Debug, PartialEq)]
pub enum Cell {
    Int(i64),
    Text(String),
    Flag(bool),
}

#[derive(Clone, Copy, PartialEq)]
enum ColumnKind {
    Int,
    Text,
    Flag,
}

/// Columns of the tables, in order.
const COLUMNS: [(&str, ColumnKind); 27] = [
    ("page", ColumnKind::Int),
    ("line", ColumnKind::Int),
    ("team", ColumnKind::Text),
    ("class", ColumnKind::Text),
    ("job", ColumnKind::Text),
    ("task", ColumnKind::Int),
    ("attempt", ColumnKind::Int),
    ("machine", ColumnKind::Text),
    ("type", ColumnKind::Text),
    ("zone", ColumnKind::Text),
    ("spot", ColumnKind::Flag),
    ("price", ColumnKind::Int),
    ("reason", ColumnKind::Text),
    ("worth", ColumnKind::Text),
    ("cpu", ColumnKind::Int),
    ("gpu", ColumnKind::Int),
    ("mem", ColumnKind::Int),
    ("begin", ColumnKind::Int),
    ("end", ColumnKind::Int),
    (STAGES[0], ColumnKind::Int),
    (STAGES[1], ColumnKind::Int),
    (STAGES[2], ColumnKind::Int),
    (STAGES[3], ColumnKind::Int),
    (STAGES[4], ColumnKind::Int),
    (STAGES[5], ColumnKind::Int),
    ("bound", ColumnKind::Int),
    ("estimate", ColumnKind::Flag),
];

/// Returns the column names, in order.
pub fn column_names() -> impl Iterator<Item = &'static str> {
    COLUMNS.iter().map(|c| c.0)
}

/// Returns the name of an enum value as lines contain it.
fn serialized_name(value: &impl serde::Serialize) -> String {
    let text = serde_json::to_string(value).unwrap_or_default();
    text.trim_matches('"').to_string()
}

/// Returns one row per charged attempt in the pages, or per charged attempt of one team if `team` is given.
pub fn rows(pages: &[Page], team: Option<&str>) -> Result<Vec<Vec<Cell>>, ExportError> {
    let int = |x: u64| Cell::Int(i64::try_from(x).unwrap_or(i64::MAX));
    let mut rows = Vec::new();
    for page in pages {
        for (line, _) in page.read().map_err(|_| ExportError::Page(page.page))? {
            let LineBody::Charge(charge) = line.body else {
                continue;
            };
            let group = &charge.group;
            if team.is_some_and(|t| t != group.team) {
                continue;
            }
            for entry in &charge.entries {
                let text = |t: &String| Cell::Text(t.clone());
                let mut row = vec![
                    int(page.page),
                    int(line.number),
                    text(&group.team),
                    text(&group.class),
                    text(&group.job),
                    int(u64::from(entry.task)),
                    int(entry.attempt),
                    text(&entry.machine),
                    text(&group.machine_type),
                    text(&group.zone),
                    Cell::Flag(group.spot),
                    int(group.price),
                    Cell::Text(serialized_name(&group.reason)),
                    Cell::Text(serialized_name(&group.usefulness)),
                    int(group.resources.0),
                    int(group.resources.1),
                    int(group.resources.2),
                    int(entry.begin),
                    int(entry.end()),
                ];
                row.extend(entry.stage_times.0.iter().map(|t| int(*t)));
                row.extend([int(entry.max_error), Cell::Flag(entry.is_estimate)]);
                rows.push(row);
            }
        }
    }
    Ok(rows)
}

/// Writes rows as CSV, with a header line of column names.
pub fn csv(rows: &[Vec<Cell>], out: impl Write) -> Result<(), ExportError> {
    let mut writer = csv::Writer::from_writer(out);
    writer.write_record(column_names())?;
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
    let field = |(name, kind): (&str, ColumnKind)| match kind {
        ColumnKind::Int => format!("REQUIRED INT64 {name};"),
        ColumnKind::Text => format!("REQUIRED BYTE_ARRAY {name} (UTF8);"),
        ColumnKind::Flag => format!("REQUIRED BOOLEAN {name};"),
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
            ColumnKind::Int => {
                let int = |c: &Cell| if let Cell::Int(x) = c { *x } else { 0 };
                let values: Vec<i64> = cells.map(int).collect();
                column
                    .typed::<Int64Type>()
                    .write_batch(&values, None, None)?;
            }
            ColumnKind::Text => {
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
            ColumnKind::Flag => {
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
