use super::*;
use crate::chain::{KeyRing, LineMac};
use crate::line::tests::{charge_group, entry};
use crate::line::{Charge, Line};

fn page() -> Page {
    let ring = KeyRing::parse(&KeyRing::write("k", &[3; 32])).unwrap();
    let entries = vec![entry(0, 5_000_000, 6), entry(9, 7_000_000, 8)];
    let line = Line {
        number: 4,
        body: LineBody::Charge(Charge {
            group: charge_group("red", "j-7"),
            entries,
        }),
    };
    let (text, _) = line.to_chained_text(ring.newest(), &LineMac::default());
    let lines = vec![serde_json::from_str(&text).unwrap()];
    let prev = LineMac::default().to_string();
    Page {
        page: 2,
        first: 4,
        prev,
        key: "k".into(),
        lines,
    }
}

#[test]
fn csv_and_parquet_have_one_row_per_attempt() {
    use parquet::file::reader::{FileReader, SerializedFileReader};
    use parquet::record::RowAccessor;
    let rows = rows(&[page()], None).unwrap();
    assert_eq!(rows.len(), 2);
    let mut text = Vec::new();
    csv(&rows, &mut text).unwrap();
    let text = String::from_utf8(text).unwrap();
    assert_eq!(text.lines().count(), 3);
    let last = "a \"\"quoted\"\" zone\",true,4500000,peers_gone,lost,2000,0,4000,7000000,7250009";
    assert!(text.lines().last().unwrap().contains(last), "{text}");
    let mut file = Vec::new();
    super::parquet(&rows, &mut file).unwrap();
    let reader = SerializedFileReader::new(bytes::Bytes::from(file)).unwrap();
    let back: Vec<_> = reader
        .get_row_iter(None)
        .unwrap()
        .map(|r| r.unwrap())
        .collect();
    assert_eq!(back.len(), 2);
    assert_eq!(back[1].get_string(4).unwrap(), "j-7");
    assert_eq!(back[1].get_long(5).unwrap(), 9);
    assert_eq!(back[1].get_long(18).unwrap(), 7_250_009);
    assert!(super::rows(&[page()], Some("blue")).unwrap().is_empty());
    let broken = Page {
        lines: vec![serde_json::Value::Null],
        ..page()
    };
    assert!(matches!(
        super::rows(&[broken], None),
        Err(ExportError::Page(2))
    ));
}
