package transport_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// layers are the folders in the order in which a request passes them: each may import itself and those after it.
var layers = []string{"hostrunner", "callers", "endpoints", "hosts", "store", "dialer", "meter", "eventlogger"}

var transportImport = regexp.MustCompile(`"github.com/hornbeamspan/hornbeamspan/transport/([a-z]+)`)

func layerIndex(folder string) int {
	for i, f := range layers {
		if f == folder {
			return i
		}
	}
	return -1
}

// eachSource calls check with every Go file below the given folders.
func eachSource(t *testing.T, check func(path, text string), dirs ...string) {
	t.Helper()
	for _, dir := range dirs {
		err := filepath.WalkDir(dir, func(path string, entry fs.DirEntry, err error) error {
			if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") {
				return err
			}
			data, err := os.ReadFile(path)
			if err != nil {
				return err
			}
			check(filepath.ToSlash(path), string(data))
			return nil
		})
		require.NoError(t, err)
	}
}

func isTest(path string) bool { return strings.HasSuffix(path, "_test.go") }

func TestFoldersImportOnlyLowerLayers(t *testing.T) {
	eachSource(t, func(path, text string) {
		if isTest(path) {
			return
		}
		own, _, _ := strings.Cut(path, "/")
		require.NotEqual(t, -1, layerIndex(own), "%s is in no known folder", path)
		for _, m := range transportImport.FindAllStringSubmatch(text, -1) {
			assert.GreaterOrEqual(t, layerIndex(m[1]), layerIndex(own), "%s imports %s", path, m[1])
		}
	}, ".")
}

func TestLowerLayersDoNotImportTransport(t *testing.T) {
	eachSource(t, func(path, text string) {
		assert.NotRegexp(t, transportImport, text, path)
	}, "../protocol", "../parts")
}

var clockCall = regexp.MustCompile(`\btime\.(Now|Since|Until|Sleep|After|AfterFunc|Tick|NewTicker|NewTimer)\(`)

func TestPackagesUseTheInjectedClock(t *testing.T) {
	eachSource(t, func(path, text string) {
		if !isTest(path) {
			assert.NotRegexp(t, clockCall, text, path)
		}
	}, ".", "../parts", "../protocol", "../platform")
}

var httpClient = regexp.MustCompile(`http\.(Client|Transport)\{|http\.Default(Client|Transport)|http\.(Get|Post|Head|PostForm|ReadResponse)\(`)

// The dialer checks the answers of all endpoints. Another client would pass on those that it refuses.
func TestOnlyTheDialerCreatesHTTPClients(t *testing.T) {
	eachSource(t, func(path, text string) {
		if !isTest(path) && !strings.HasPrefix(path, "dialer/") {
			assert.NotRegexp(t, httpClient, text, path)
		}
	}, ".", "../parts", "../protocol", "../platform")
}
