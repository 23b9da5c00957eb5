package protocol

// Paths of the cloud's interface.
const (
	// PathMachineTypes returns the catalogue, a MachineTypes.
	PathMachineTypes = "/flavors"
	// PathRentals lists rented machines (GET) and rents more (POST).
	PathRentals = "/rentals"
	// PathRentalsDelete returns machines to the cloud.
	PathRentalsDelete = "/rentals/delete"
)

// MachineTypes is the cloud's catalogue.
type MachineTypes struct {
	MachineTypes []MachineType `json:"rigs"`
}

// MachineType is a type of machine that the cloud rents out.
type MachineType struct {
	Name            string   `json:"sku"`
	CPUs            float64  `json:"cpus"`
	GPUs            float64  `json:"accelerators"`
	MemoryGB        float64  `json:"ramGb"`
	LocalGB         float64  `json:"localGb"` // disk for images and data sets
	ImagePullGBPerS float64  `json:"pullGbPerS"`
	OnDemandPrice   float64  `json:"hourly"` // per hour, like SpotPrice
	SpotPrice       float64  `json:"spotPrice"`
	StartupS        float64  `json:"startupS"`
	Zones           []string `json:"depots"` // where it can be rented
}

// RentalRequest asks the cloud for machines. A request whose id the cloud knows gets the
// same answer again and rents nothing more.
type RentalRequest struct {
	RequestID   string `json:"hire"`
	MachineType string `json:"rig"`
	Zone        string `json:"depot"`
	Spot        bool   `json:"casual"`
	Count       int    `json:"number"`
}

// MachineNames lists machines by name: those rented by a request, or those to return to
// the cloud.
type MachineNames struct {
	Machines []string `json:"stokers"`
}

// RentalList is a page of the cloud's list of rented machines.
type RentalList struct {
	Machines  []RentedMachine `json:"stokers"`
	Truncated bool            `json:"truncated"` // there are more after the last
}

// RentedMachine is a machine in the cloud's list.
type RentedMachine struct {
	Name        string        `json:"ref"`
	Address     string        `json:"address"`
	MachineType string        `json:"rig"`
	Zone        string        `json:"depot"`
	Spot        bool          `json:"casual"`
	Status      MachineStatus `json:"status"` // StatusBooting, StatusRunning or StatusFailed
	AgeS        float64       `json:"ageS"`
}

// MachineStatus is the state of a machine in the cloud's list.
type MachineStatus string

// Statuses of machines.
const (
	StatusBooting MachineStatus = "booting"
	StatusRunning MachineStatus = "running"
	StatusFailed  MachineStatus = "failed"
)
