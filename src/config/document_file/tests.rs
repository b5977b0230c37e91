use super::*;

#[test]
fn line_of_finds_key_or_table_header() {
    let text = "over_limit = \"stop\"\n\n[[teams]]\nname = \"a\"\ncpus = 1.0\n\n[[teams]]\n\
                name = \"b\"\ncpus = 3.0\ncpus_max = 2.0\n";
    assert_eq!(line_of(text, "teams[1].cpus"), 9);
    assert_eq!(line_of(text, "teams[1].gpus"), 7);
    assert_eq!(line_of(text, "over_limit"), 1);
}
