// Package measurer runs the placement and admission cores against small fakes of engines and prints the users' measures.
package measurer
