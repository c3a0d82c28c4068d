package fleet

// Class orders requests by urgency.
type Class string

// Classes of requests.
const (
	// ClassUrgent goes before all other work. It needs a priority grant of the operators.
	ClassUrgent Class = "urgent"
	// ClassNormal is the class of ordinary short work.
	ClassNormal Class = "normal"
	// ClassLong is work that can wait, such as exports and surveys.
	ClassLong Class = "long"
)

// Classes returns all classes, the most urgent first.
func Classes() []Class {
	return []Class{ClassUrgent, ClassNormal, ClassLong}
}

// IsShort reports whether requests of the class must not queue behind long work.
func (c Class) IsShort() bool {
	return c != ClassLong
}
