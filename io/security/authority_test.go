package security_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/base64"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"pineturn/io/security"
)

// authority is a certificate authority for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, key: newKey(t)}
	template := newTemplate("authority")
	template.IsCA, template.BasicConstraintsValid = true, true
	template.KeyUsage = x509.KeyUsageCertSign
	a.cert = parse(t, a.sign(template, template, a.key))
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

// newTemplate returns a template for a certificate that is valid for an hour.
func newTemplate(name string) *x509.Certificate {
	serial, _ := rand.Int(rand.Reader, big.NewInt(1<<62))
	return &x509.Certificate{
		SerialNumber: serial,
		Subject:      pkix.Name{CommonName: name},
		NotBefore:    time.Now().Add(-time.Hour),
		NotAfter:     time.Now().Add(time.Hour),
	}
}

func (a *authority) sign(template, parent *x509.Certificate, key *ecdsa.PrivateKey) []byte {
	a.t.Helper()
	der, err := x509.CreateCertificate(rand.Reader, template, parent, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	return der
}

func parse(t *testing.T, der []byte) *x509.Certificate {
	t.Helper()
	cert, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	return cert
}

// issue writes a certificate for a host, its key and the CA certificate to files. The
// certificate contains the name and, if withAddress is set, the loopback address.
func (a *authority) issue(files security.Files, name string, withAddress bool) {
	a.t.Helper()
	template := newTemplate(name)
	template.DNSNames = []string{name}
	if withAddress {
		template.IPAddresses = []net.IP{net.IPv4(127, 0, 0, 1)}
	}
	template.ExtKeyUsage = []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}
	key := newKey(a.t)
	der, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	replaceFile(a.t, files.Cert, pemBlock("CERTIFICATE", a.sign(template, a.cert, key)))
	replaceFile(a.t, files.Key, pemBlock("EC PRIVATE KEY", der))
	replaceFile(a.t, files.CA, a.pem())
}

// pem returns the CA certificate.
func (a *authority) pem() []byte { return pemBlock("CERTIFICATE", a.cert.Raw) }

func pemBlock(kind string, data []byte) []byte {
	return pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: data})
}

// replaceFile replaces a file atomically.
func replaceFile(t *testing.T, file string, data []byte) {
	t.Helper()
	if err := os.WriteFile(file+".new", data, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := os.Rename(file+".new", file); err != nil {
		t.Fatal(err)
	}
}

// filesIn returns the paths of the files of one host.
func filesIn(dir string) security.Files {
	return security.Files{
		Cert: filepath.Join(dir, "cert.pem"),
		Key:  filepath.Join(dir, "key.pem"),
		CA:   filepath.Join(dir, "ca.pem"),
	}
}

// keyFile returns the content of a key file. Each key repeats one byte.
func keyFile(keys ...byte) []byte {
	var out bytes.Buffer
	out.WriteString("# keys\n")
	for _, key := range keys {
		out.WriteString(base64.StdEncoding.EncodeToString(bytes.Repeat([]byte{key}, 32)) + "\n")
	}
	return out.Bytes()
}

// stepClock is the system clock plus an offset, in nanoseconds, that tests increase.
type stepClock struct{ offset atomic.Int64 }

func (c *stepClock) Now() time.Time { return time.Now().Add(time.Duration(c.offset.Load())) }

// step moves the clock beyond the interval between checks of the files.
func (c *stepClock) step() { c.offset.Add(int64(time.Minute)) }
