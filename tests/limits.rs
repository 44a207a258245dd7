//! The limits on the decision files: how many lines together, how long one may be, and that the deploy
//! file names them all.

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
    let mut all = 0;
    for file in &files {
        assert!(policy.contains(&format!("\"{file}\"")), "{file} is not named under policy");
        let text = fs::read_to_string(file).expect("it can be read");
        assert!(text.starts_with("//! "), "{file} does not say what it owns");
        assert!(text.lines().count() <= 250, "{file} is too long");
        for (number, line) in text.lines().enumerate() {
            assert!(line.chars().count() <= 110, "{file}: line {} is too wide", number + 1);
        }
        all += text.lines().filter(|line| !line.trim().is_empty()).count();
    }
    assert!(all <= 1030, "{all} lines that are not blank");
}
