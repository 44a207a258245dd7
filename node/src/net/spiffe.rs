//! Identities of the second front: TLS with X.509-SVIDs, after the SPIFFE ID and X509-SVID documents.
//! It owns the program's own SVID and one trust bundle for each trust domain, reads both anew when
//! their files change, and says under which SPIFFE ID a peer has come. It must never say what an
//! identity may do, take a name from anywhere but the one URI SAN, or let a bundle vouch for a
//! trust domain that is not its own.

use rustls::DigitallySignedStruct;
use rustls::SignatureScheme;
use rustls::client::danger::HandshakeSignatureValid;
use rustls::crypto::{CryptoProvider, verify_tls12_signature, verify_tls13_signature};
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer, UnixTime};
use rustls::server::danger::{ClientCertVerified, ClientCertVerifier};
use rustls::server::{ClientHello, ResolvesServerCert, WebPkiClientVerifier};
use rustls::sign::CertifiedKey;
use rustls::{CertificateError, DistinguishedName, Error, RootCertStore, ServerConfig};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::sync::{Arc, RwLock};
use x509_parser::prelude::{FromDer, GeneralName, ParsedExtension, X509Certificate};

/// The files that identities come from.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Files {
    /// The program's own SVID and those that vouch for it, in PEM.
    pub svid: PathBuf,
    /// The key of its SVID, in PEM.
    pub key: PathBuf,
    /// The trust bundle of each trust domain whose members may come.
    pub bundle: Vec<Bundle>,
    /// Seconds between looks at the files.
    #[serde(default = "five")]
    pub reload_s: f64,
}

fn five() -> f64 {
    5.0
}

/// The trust bundle of one trust domain.
#[derive(Clone, Debug, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bundle {
    pub trust_domain: String,
    pub file: PathBuf,
}

/// A SPIFFE ID that is well formed.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SpiffeId {
    text: String,
    domain_len: usize,
}

impl SpiffeId {
    /// Reads an ID.
    pub fn parse(text: &str) -> Result<SpiffeId, String> {
        let bad = |what: &str| Err(format!("{text:?} is no SPIFFE ID: {what}"));
        if text.len() > 2048 {
            return Err("a SPIFFE ID is longer than 2048 bytes".to_owned());
        }
        let Some(rest) = text.strip_prefix("spiffe://") else { return bad("its scheme") };
        let (domain, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let of_domain = |b: u8| b.is_ascii_lowercase() || b.is_ascii_digit() || b"-._".contains(&b);
        if domain.is_empty() || domain.len() > 255 || !domain.bytes().all(of_domain) {
            return bad("its trust domain");
        }
        let of_path = |b: u8| b.is_ascii_alphanumeric() || b"-._".contains(&b);
        let good = |part: &str| !matches!(part, "" | "." | "..") && part.bytes().all(of_path);
        if !path.is_empty() && !path[1..].split('/').all(good) {
            return bad("its path");
        }
        Ok(SpiffeId { text: text.to_owned(), domain_len: domain.len() })
    }

    pub fn as_str(&self) -> &str {
        &self.text
    }

    pub fn trust_domain(&self) -> &str {
        &self.text["spiffe://".len()..][..self.domain_len]
    }
}

/// The SPIFFE ID of a leaf certificate: its only URI SAN, in a certificate that is fit to be a leaf.
pub fn id_of(leaf: &CertificateDer<'_>) -> Result<SpiffeId, String> {
    let (rest, leaf) = X509Certificate::from_der(leaf).map_err(|e| format!("certificate: {e}"))?;
    if !rest.is_empty() {
        return Err("certificate: more follows it".to_owned());
    }
    let mut ids = Vec::new();
    for extension in leaf.extensions() {
        match extension.parsed_extension() {
            ParsedExtension::SubjectAlternativeName(names) => {
                ids.extend(names.general_names.iter().filter_map(|name| match name {
                    GeneralName::URI(uri) => Some(*uri),
                    _ => None,
                }));
            }
            ParsedExtension::BasicConstraints(constraints) if constraints.ca => {
                return Err("an SVID must not be a CA".to_owned());
            }
            ParsedExtension::KeyUsage(usage)
                if usage.key_cert_sign() || usage.crl_sign() || !usage.digital_signature() =>
            {
                return Err("the key usage of an SVID is not that of a leaf".to_owned());
            }
            _ => {}
        }
    }
    match ids.as_slice() {
        [id] => SpiffeId::parse(id),
        ids => Err(format!("an SVID has one URI SAN, this has {}", ids.len())),
    }
}

/// What the files held when they were last read.
struct Loaded {
    texts: Vec<Vec<u8>>,
    own: Arc<CertifiedKey>,
    verifiers: BTreeMap<String, Arc<dyn ClientCertVerifier>>,
}

/// Identities as they stand now.
pub struct Identities {
    files: Files,
    provider: Arc<CryptoProvider>,
    loaded: RwLock<Arc<Loaded>>,
}

impl std::fmt::Debug for Identities {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "identities from {}", self.files.svid.display())
    }
}

impl Identities {
    /// Reads the files.
    ///
    /// # Errors
    ///
    /// Names the key of the operator's file whose file is of no use.
    pub fn load(files: Files) -> Result<Arc<Identities>, String> {
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let loaded = read(&files, &provider)?;
        Ok(Arc::new(Identities { files, provider, loaded: RwLock::new(Arc::new(loaded)) }))
    }

    /// Reads the files anew; whether they had changed. What is of no use changes nothing.
    pub fn reload(&self) -> Result<bool, String> {
        if texts(&self.files)? == self.now().texts {
            return Ok(false);
        }
        let loaded = Arc::new(read(&self.files, &self.provider)?);
        *self.loaded.write().unwrap_or_else(|poisoned| poisoned.into_inner()) = loaded;
        Ok(true)
    }

    fn now(&self) -> Arc<Loaded> {
        self.loaded.read().unwrap_or_else(|poisoned| poisoned.into_inner()).clone()
    }

    /// TLS in which both sides show an SVID.
    pub fn server_config(self: &Arc<Self>) -> Result<Arc<ServerConfig>, String> {
        let mut config = ServerConfig::builder_with_provider(self.provider.clone())
            .with_safe_default_protocol_versions()
            .map_err(|e| e.to_string())?
            .with_client_cert_verifier(Arc::new(Verifier(self.clone())))
            .with_cert_resolver(Arc::new(Own(self.clone())));
        // A session taken up again would skip the check of an SVID that has expired since.
        config.session_storage = Arc::new(rustls::server::NoServerSessionStorage {});
        config.send_tls13_tickets = 0;
        Ok(Arc::new(config))
    }
}

fn texts(files: &Files) -> Result<Vec<Vec<u8>>, String> {
    let bundles = files.bundle.iter().map(|bundle| ("tls.bundle.file", &bundle.file));
    let all = [("tls.svid", &files.svid), ("tls.key", &files.key)].into_iter().chain(bundles);
    all.map(|(key, path)| std::fs::read(path).map_err(|e| format!("{key}: {}: {e}", path.display())))
        .collect()
}

fn read(files: &Files, provider: &Arc<CryptoProvider>) -> Result<Loaded, String> {
    let texts = texts(files)?;
    let certificates = |key: &str, text: &[u8]| -> Result<Vec<CertificateDer<'static>>, String> {
        let all: Result<Vec<_>, _> = CertificateDer::pem_slice_iter(text).collect();
        all.ok().filter(|all| !all.is_empty()).ok_or_else(|| format!("{key}: holds no certificates in PEM"))
    };
    let chain = certificates("tls.svid", &texts[0])?;
    id_of(&chain[0]).map_err(|e| format!("tls.svid: {e}"))?;
    let key = PrivateKeyDer::from_pem_slice(&texts[1]).map_err(|e| format!("tls.key: {e}"))?;
    let own = CertifiedKey::from_der(chain, key, provider).map_err(|e| format!("tls.key: {e}"))?;
    let mut verifiers = BTreeMap::new();
    for (bundle, text) in files.bundle.iter().zip(&texts[2..]) {
        let domain = bundle.trust_domain.clone();
        SpiffeId::parse(&format!("spiffe://{domain}"))
            .map_err(|e| format!("tls.bundle.trust_domain: {e}"))?;
        let mut roots = RootCertStore::empty();
        for root in certificates("tls.bundle.file", text)? {
            roots.add(root).map_err(|e| format!("tls.bundle.file: {domain}: {e}"))?;
        }
        let verifier = WebPkiClientVerifier::builder_with_provider(Arc::new(roots), provider.clone()).build();
        let verifier = verifier.map_err(|e| format!("tls.bundle.file: {domain}: {e}"))?;
        if verifiers.insert(domain.clone(), verifier).is_some() {
            return Err(format!("tls.bundle.trust_domain: {domain} is there twice"));
        }
    }
    Ok(Loaded { texts, own: Arc::new(own), verifiers })
}

#[derive(Debug)]
struct Own(Arc<Identities>);

impl ResolvesServerCert for Own {
    fn resolve(&self, _: ClientHello<'_>) -> Option<Arc<CertifiedKey>> {
        Some(self.0.now().own.clone())
    }
}

/// Checks a peer's SVID against the bundle of the trust domain that it names, and no other.
#[derive(Debug)]
struct Verifier(Arc<Identities>);

impl ClientCertVerifier for Verifier {
    fn root_hint_subjects(&self) -> &[DistinguishedName] {
        &[]
    }

    fn verify_client_cert(
        &self,
        leaf: &CertificateDer<'_>,
        others: &[CertificateDer<'_>],
        now: UnixTime,
    ) -> Result<ClientCertVerified, Error> {
        let refused = |why: String| {
            log::warn!("peer refused: {why}");
            Error::InvalidCertificate(CertificateError::ApplicationVerificationFailure)
        };
        let id = id_of(leaf).map_err(refused)?;
        let verifier = self.0.now().verifiers.get(id.trust_domain()).cloned();
        let verifier = verifier.ok_or_else(|| refused(format!("{}: no such trust domain", id.as_str())))?;
        verifier.verify_client_cert(leaf, others, now).inspect_err(|e| {
            log::warn!("peer refused: {}: {e}", id.as_str());
        })
    }

    fn verify_tls12_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls12_signature(message, cert, dss, &self.0.provider.signature_verification_algorithms)
    }

    fn verify_tls13_signature(
        &self,
        message: &[u8],
        cert: &CertificateDer<'_>,
        dss: &DigitallySignedStruct,
    ) -> Result<HandshakeSignatureValid, Error> {
        verify_tls13_signature(message, cert, dss, &self.0.provider.signature_verification_algorithms)
    }

    fn supported_verify_schemes(&self) -> Vec<SignatureScheme> {
        self.0.provider.signature_verification_algorithms.supported_schemes()
    }
}
