package profile

import "ibislift/core/kernel"

// FromTable returns the profile that a service has selected, according to the
// replicated records. It returns the default profile if the service has
// selected none or the selected one cannot be parsed.
func FromTable(table *kernel.Table, service string) Profile {
	return lookup(service, func(key kernel.Key) ([]byte, bool) {
		record, known := table.Get(key)
		if !known {
			return nil, false
		}
		decoded, err := decode(record.Body)
		return decoded.Spec, err == nil && isActive(key, decoded.Retired)
	})
}

// FromView returns the profile that a service has selected, according to a
// view, or the default profile as FromTable does.
func FromView(view *kernel.View, service string) Profile {
	return lookup(service, func(key kernel.Key) ([]byte, bool) {
		config, known := view.Config(key)
		return config.Spec, known && isActive(key, config.Retired)
	})
}

// isActive reports whether an object takes effect. A retired profile stays
// active, because a service may have selected it at the same moment as it was
// retired. A retired service configuration is not active.
func isActive(key kernel.Key, retired bool) bool {
	return !retired || key.Kind == kernel.KindProfile
}

// lookup returns the profile of a service. specOf returns the spec of an active
// object.
func lookup(service string, specOf func(kernel.Key) ([]byte, bool)) Profile {
	text, known := specOf(kernel.Key{Kind: kernel.KindService, Name: service})
	if !known {
		return Default()
	}
	choice, err := ParseServiceConfig(text)
	if err != nil {
		return Default()
	}
	text, known = specOf(kernel.Key{Kind: kernel.KindProfile, Name: choice.Profile})
	if !known {
		return Default()
	}
	parsed, err := Parse(text)
	if err != nil {
		return Default()
	}
	return parsed
}
