//! The limits on the decision files: how long and how wide one may be, that each function, constant, type and
//! field has its own comment, and that the deploy file names them all.

use std::fs;

#[test]
fn the_decision_files_keep_their_limits_and_are_all_named() {
    let beside = fs::read_dir("src/balance").expect("the folder is there");
    let mut files: Vec<String> = beside
        .map(|file| format!("src/balance/{}", file.expect("it can be read").file_name().to_string_lossy()))
        .collect();
    files.push("src/balance.rs".to_owned());
    let deploy = fs::read_to_string("deploy/balancer.toml").expect("it is there");
    let policy = deploy.lines().find(|line| line.starts_with("policy =")).expect("it names decision files");
    assert_eq!(policy.matches(".rs\"").count(), files.len(), "no more are named than there are");
    let mut uncommented = Vec::new();
    for file in &files {
        assert!(policy.contains(&format!("\"{file}\"")), "{file} is not named under policy");
        let text = fs::read_to_string(file).expect("it can be read");
        assert!(text.starts_with("//! "), "{file} does not begin with its purpose");
        assert!(text.lines().count() <= 250, "{file} is too long");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}: line {} is too wide", number + 1);
        }
        uncommented.extend(without_comment(&text).iter().map(|found| format!("{file}:{found}")));
    }
    assert!(uncommented.is_empty(), "without a doc comment directly above:\n{}", uncommented.join("\n"));
}

/// The check on comments must find each kind of item: one that finds none would pass any file.
#[test]
fn each_kind_of_item_needs_a_doc_comment_directly_above() {
    let bare = [
        "fn a() {}",
        "    pub(super) fn a(&self) -> f64 {\n    }",
        "pub const fn a() {}",
        "pub(in crate::b) async fn a() {}",
        "const A: f64 = 1.0; // in seconds",
        "// Not a doc comment.\nconst A: f64 = 1.0;",
        "/// Not directly above.\n\nconst A: f64 = 1.0;",
        "///\nconst A: f64 = 1.0;",
        "struct A;",
        "#[derive(Default)]\npub struct A(f64);",
        "enum A {}",
        "/// A type.\nstruct A {\n    a: f64, // in seconds\n}",
        "/// A type.\nstruct A {\n    /// A field.\n    a: f64,\n    pub(super) b: f64,\n}",
        "/// A type.\nstruct A { a: f64 }",
        "/// A type.\nenum A {\n    /// A variant.\n    B,\n    C,\n}",
        "/// A type.\nenum A {\n    /// A variant.\n    B {\n        a: f64,\n    },\n}",
        "/// A type.\nenum A {\n    /// A variant.\n    B { a: f64 },\n}",
    ];
    for text in bare {
        assert_eq!(without_comment(text).len(), 1, "{text}");
    }
    let commented = [
        "/// A function.\nfn a() {\n    let b = 1; // a local\n}",
        "/// A function.\n#[inline]\n#[must_use]\npub fn a() {}",
        "/// A type.\n#[derive(Default)]\nstruct A {\n    /// A field.\n    #[allow(dead_code)]\n    a: f64,\n}",
        "/// A type.\npub struct A;",
        "/// A type.\nenum A {\n    /// A variant.\n    B {\n        /// A field.\n        a: f64,\n    },\n}",
    ];
    for text in commented {
        assert_eq!(without_comment(text), Vec::<String>::new(), "{text}");
    }
}

/// Returns number and text of each line that begins a `fn`, `const`, `struct`, `enum`, field or variant without
/// a doc comment directly above; only attributes may stand between. Expects the layout of rustfmt.
fn without_comment(text: &str) -> Vec<String> {
    let lines: Vec<&str> = text.lines().collect();
    let mut found = Vec::new();
    let mut body_indent = None; // of the struct or enum whose body the line is in
    for (number, line) in lines.iter().enumerate() {
        let code = line.trim_start();
        let indent = line.len() - code.len();
        let passive = code.is_empty() || code.starts_with("//") || code.starts_with('#');
        let closes = code.starts_with(['}', ')']);
        if closes && body_indent == Some(indent) {
            body_indent = None;
        }
        if passive || closes {
            continue;
        }
        let keyword = item_keyword(code);
        let is_type = matches!(keyword, Some("struct" | "enum"));
        if keyword.is_none() && body_indent.is_none() {
            continue;
        }
        let mut above = lines[..number].iter().rev().map(|line| line.trim_start());
        let comment = above.find(|line| !line.starts_with("#[")).unwrap_or_default();
        let has_text = comment.strip_prefix("///").is_some_and(|words| !words.trim().is_empty());
        // Fields on the line of their type or variant have no place for comments of their own.
        if !has_text || (is_type || body_indent.is_some()) && code.contains("{ ") {
            found.push(format!("{}: {code}", number + 1));
        }
        if is_type && !code.ends_with([';', '}']) {
            body_indent = Some(indent);
        }
    }
    found
}

/// Returns the keyword that begins the item on a line, past its visibility and qualifiers.
fn item_keyword(code: &str) -> Option<&str> {
    let code = match code.strip_prefix("pub(") {
        Some(rest) => rest.split_once(')').map_or("", |(_, rest)| rest),
        None => code.strip_prefix("pub ").unwrap_or(code),
    };
    let first = code.split_whitespace().find(|word| !["async", "unsafe", "extern", "\"C\""].contains(word));
    first.filter(|word| ["fn", "const", "struct", "enum"].contains(word))
}
