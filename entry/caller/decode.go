package caller

import (
	"errors"
	"net/http"

	"chervilswitch.example/entry/api"

	"github.com/ogen-go/ogen/ogenerrors"
	"github.com/ogen-go/ogen/validate"
)

// decodeFailureResponse returns the HTTP status and body for an invalid request. The
// body names the first invalid field.
func decodeFailureResponse(err error) (int, api.Failure) {
	body := api.Failure{Code: "badRequest", Outcome: api.FailureOutcomeNotRun, Message: err.Error()}
	var tooLarge *http.MaxBytesError
	var security *ogenerrors.SecurityError
	var parameter *ogenerrors.DecodeParamError
	var invalid *validate.Error
	switch {
	case errors.As(err, &tooLarge):
		body.Code, body.Field = "bodyTooLarge", api.NewOptString("body")
		return http.StatusRequestEntityTooLarge, body
	case errors.As(err, &security):
		body.Code, body.Field = "noOrganisation", api.NewOptString("Authorization")
		body.Message = unknownKeyMessage
		return http.StatusUnauthorized, body
	case errors.As(err, &parameter):
		body.Field = api.NewOptString(parameter.Name)
	case errors.As(err, &invalid) && len(invalid.Fields) > 0:
		body.Field = api.NewOptString(invalid.Fields[0].Name)
		body.Message = invalid.Fields[0].Error.Error()
	default:
		body.Field = api.NewOptString("body")
	}
	return ogenerrors.ErrorCode(err), body
}
