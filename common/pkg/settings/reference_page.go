package settings

import (
	"fmt"
	"os"
	"strings"

	"github.com/pkg/errors"
)

// errOutdatedPage means that the reference page doesn't match the code.
var errOutdatedPage = errors.New("the settings page is out of date; run make reference")

func sectionMarkers(program string) (begin, end string) {
	return "<!-- " + program + " begins -->\n", "<!-- " + program + " ends -->\n"
}

// CheckPage compares a program's section of the settings page with the struct that holds the
// defaults. If update is set, it rewrites a section that differs.
func CheckPage(path, program string, defaults any, update bool) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read the settings page: %w", err)
	}
	begin, end := sectionMarkers(program)
	before, rest, found := strings.Cut(string(text), begin)
	section, after, ended := strings.Cut(rest, end)
	if !found || !ended {
		return fmt.Errorf("section of %s is missing: %w", program, errOutdatedPage)
	}
	want := Reference(defaults)
	if section == want {
		return nil
	}
	if !update {
		return fmt.Errorf("section of %s: %w", program, errOutdatedPage)
	}
	if err := os.WriteFile(path, []byte(before+begin+want+end+after), 0o644); err != nil {
		return fmt.Errorf("write the settings page: %w", err)
	}
	return nil
}
