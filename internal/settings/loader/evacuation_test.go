package loader_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/cottonlanding/cottonlanding"
	"github.com/cottonlanding/cottonlanding/internal/settings/loader"
)

const plainFile = `# whose kilns these are
Deployment: kilns
Teams: [{Name: members}] # one for all
Services: []
`

func TestEvacuateChangesTheListAlone(t *testing.T) {
	evacuate := func(text []byte, dataCentre cottonlanding.DataCentre, evacuated bool) []byte {
		next, err := loader.Evacuate("f", text, dataCentre, evacuated)
		require.NoError(t, err)
		return next
	}
	list := func(text []byte) []cottonlanding.DataCentre {
		configuration, err := loader.ParseConfiguration("f", text)
		require.NoError(t, err)
		return configuration.Evacuated
	}
	text := evacuate([]byte(plainFile), "biel", true)
	require.Equal(t, []cottonlanding.DataCentre{"biel"}, list(text))
	require.Contains(t, string(text), "# whose kilns these are")
	require.Contains(t, string(text), "# one for all")
	require.Equal(t, text, evacuate(text, "biel", true), "again changes nothing")
	text = evacuate(text, "ins", true)
	require.Equal(t, []cottonlanding.DataCentre{"biel", "ins"}, list(text))
	text = evacuate(evacuate(text, "biel", false), "ins", false)
	require.NotContains(t, string(text), "Evacuated")
	require.Equal(t, []byte(plainFile), evacuate([]byte(plainFile), "ins", false))

	_, err := loader.Evacuate("f", []byte(plainFile), "a/b", true)
	require.ErrorContains(t, err, "Evacuated[0]")
	_, err = loader.ParseConfiguration("f", []byte(plainFile+"Evacuated: [a, a]\n"))
	require.ErrorContains(t, err, `f:5: Evacuated[1]: "a" is there twice`)
	_, err = loader.Evacuate("f", []byte("Teams: ["), "a", true)
	require.Error(t, err)
}
